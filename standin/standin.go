// Package standin provides the audit files that the test doubles in its subfolders write.
// They stand in for the platform's services and for an operator's own service, in the demo
// and the tests. The product imports none of them.
package standin

import (
	"encoding/json"
	"os"
	"sync"
)

// Audit is an append-only file of JSON lines, from which tests check what was executed.
// A nil Audit writes nothing. It is safe for concurrent use.
type Audit struct {
	mu sync.Mutex
	f  *os.File
}

// OpenAudit opens the file at path for appending. It returns nil if path is empty.
func OpenAudit(path string) (*Audit, error) {
	if path == "" {
		return nil, nil //nolint:nilnil // a nil Audit is ready to use
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &Audit{f: f}, nil
}

// Write appends v as one line of JSON. The line is written to the file, but not synced,
// when Write returns. It panics if that fails.
func (a *Audit) Write(v any) {
	if a == nil {
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't happen: the records are plain structs
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.f.Write(append(data, '\n')); err != nil {
		panic(err) // a test would miss what the record says
	}
}

// RequestRecord is one line of an upstream's audit: the start or the end of a request.
type RequestRecord struct {
	VM      string `json:"vm"`
	Request string `json:"request"` // id from the header Rudderfork-Request
	Key     string `json:"key"`     // idempotency key; empty if the request has none
	Path    string `json:"path"`    // with the query
	At      int64  `json:"at"`      // Unix µs
	Ended   bool   `json:"whole"`   // false in the line of the start, true in the line written after the handler has returned
}

// TaskRecord is one line of a worker's audit: the start of an attempt at a task, a completed
// unit of work, or the end of the attempt.
type TaskRecord struct {
	VM    string `json:"vm"`
	Boot  string `json:"boot"` // id of the worker's process, random at each start
	Task  string `json:"task"`
	Token uint64 `json:"token"` // fencing token of the attempt
	// Event is start, unit, done, failed, expired, stopped (with a checkpoint, or by a later
	// attempt) or dropped (stopped without a checkpoint).
	Event     string `json:"what"`
	UnitsDone int64  `json:"unit"` // units of work completed so far
	From      int64  `json:"from"` // start of the unit, or time of the event; Unix µs
	To        int64  `json:"to"`   // Unix µs
	CPU       int64  `json:"cpu"`  // thousandths of a core that the attempt takes
	Mem       int64  `json:"mem"`  // MB that the attempt takes
}
