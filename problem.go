package rudderfork

import "time"

// Ran says whether a refused or failed request ran.
type Ran string

// The three answers. RanNo is said only when the request was surely never
// handed to the upstream; RanUnknown is all that is not sure.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Problem is a refusal, in the form of RFC 9457 problem details.
type Problem struct {
	Type    string    `json:"type"`
	Title   string    `json:"title"`
	Status  int       `json:"status"`
	Detail  string    `json:"detail"`
	Ran     Ran       `json:"ran"`
	RetryAt time.Time `json:"retry_at,omitzero"` // when to come back; zero if never
	Request string    `json:"request,omitempty"`
	Version Revision  `json:"revision,omitempty"` // of the table that decided
}

// Error makes a Problem an error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }
