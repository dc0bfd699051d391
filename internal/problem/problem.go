// Package problem writes refusals as problem details (RFC 9457).
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

// TypeBase starts the type of every problem; docs/API.md lists what follows it.
const TypeBase = "urn:rudderfork:problem:"

// Header says whether a refused request ran, for clients that do not read the
// body: "no", "yes" or "unknown".
const Header = "Rudderfork-Ran"

// New returns a problem. kind is the last part of its type.
func New(status int, kind, detail string, ran rudderfork.Ran) *rudderfork.Problem {
	return &rudderfork.Problem{
		Type: TypeBase + kind, Title: http.StatusText(status), Status: status, Detail: detail, Ran: ran,
	}
}

// Write sends p as the whole answer. Retry-After is rounded up to seconds.
func Write(w http.ResponseWriter, p *rudderfork.Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(Header, string(p.Ran))
	if !p.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.Itoa(retryAfter(p.RetryAt)))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a client that is gone needs no answer
}

func retryAfter(at time.Time) int {
	return max(1, int(math.Ceil(at.Sub(steady.Now()).Seconds())))
}
