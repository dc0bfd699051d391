package rudderfork

import "time"

// Ran says whether a refused or failed request was executed.
type Ran string

// The values of Ran. RanNo means that the request was never sent to the upstream. RanUnknown means
// that it is uncertain whether the request was executed.
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
	RetryAt time.Time `json:"retry_at,omitzero"` // earliest time for a retry; zero if a retry cannot succeed
	Request string    `json:"request,omitempty"`
	Version Revision  `json:"revision,omitempty"` // revision of the table by which the request was handled
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }
