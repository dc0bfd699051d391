// Package standin holds the audit that the test doubles of the platform and of the
// operators' own services write. They serve the demo and the tests; the product imports
// none of them.
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

// Run is one line of an upstream's audit: the start or the end of a request.
type Run struct {
	VM      string `json:"vm"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	At      int64  `json:"at"`    // Unix µs
	Ended   bool   `json:"whole"` // set in the line written after the handler has returned
}

// Unit is one line of a worker's audit: the start of an attempt at a task, a completed
// unit of work, or the end of the attempt.
type Unit struct {
	VM    string `json:"vm"`
	Boot  string `json:"boot"`
	Task  string `json:"task"`
	Token uint64 `json:"token"`
	// What is start, unit, done, failed, expired, stopped (with a checkpoint, or by a later
	// attempt) or dropped (stopped without a checkpoint).
	What string `json:"what"`
	Unit int64  `json:"unit"` // units of work completed so far
	From int64  `json:"from"` // Unix µs
	To   int64  `json:"to"`   // Unix µs
	CPU  int64  `json:"cpu"`  // thousandths of a core that the attempt takes
	Mem  int64  `json:"mem"`
}
