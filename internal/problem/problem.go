// Package problem writes HTTP error responses as problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
)

// TypeBase is the prefix of every problem type; docs/API.md lists the suffixes.
const TypeBase = "urn:rudderfork:problem:"

// Header is the response header that says whether the refused request was executed, for
// clients that do not read the body: "no", "yes" or "unknown".
const Header = "Rudderfork-Ran"

// New returns a problem whose type is TypeBase followed by kind.
func New(status int, kind, detail string, ran rudderfork.Ran) *rudderfork.Problem {
	return &rudderfork.Problem{
		Type: TypeBase + kind, Title: http.StatusText(status), Status: status, Detail: detail, Ran: ran,
	}
}

// Write sends p as a complete response. Retry-After is rounded up to whole seconds, at
// least one.
func Write(w http.ResponseWriter, p *rudderfork.Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(Header, string(p.Ran))
	if !p.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.Itoa(retryAfter(p.RetryAt)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the client has disconnected
}

func retryAfter(at time.Time) int {
	return max(1, int(math.Ceil(at.Sub(steady.Now()).Seconds())))
}
