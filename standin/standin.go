// Package standin holds what the stand-ins share. They play the platform and
// the operators' own services in the demo and the tests; the product imports
// none of them.
package standin

import (
	"encoding/json"
	"os"
	"sync"
)

// Audit is an append-only file of JSON lines that tests read afterwards. A nil
// Audit writes nothing. It is safe for concurrent use.
type Audit struct {
	mu sync.Mutex
	f  *os.File
}

// OpenAudit opens path for appending; with no path it returns nil.
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

// Write adds one line. It is in the file, though not synced, when Write returns.
func (a *Audit) Write(v any) {
	if a == nil {
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the records are plain structs
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, err := a.f.Write(append(data, '\n')); err != nil {
		panic(err) // a proof without its audit proves nothing
	}
}

// Run is one line of an upstream's audit: a request that ran.
type Run struct {
	VM      string `json:"vm"`
	Request string `json:"request"`
	Key     string `json:"key"`
	Path    string `json:"path"`
	At      int64  `json:"at"` // Unix µs
	Whole   bool   `json:"whole"`
}

// Unit is one line of a worker's audit: a unit of work of a task, or its end.
type Unit struct {
	VM    string `json:"vm"`
	Boot  string `json:"boot"`
	Task  string `json:"task"`
	Token uint64 `json:"token"`
	What  string `json:"what"` // start, unit, done, failed, stopped (with a checkpoint), dropped, expired
	Unit  int64  `json:"unit"`
	From  int64  `json:"from"` // Unix µs
	To    int64  `json:"to"`   // Unix µs
	CPU   int64  `json:"cpu"`  // thousandths of a core that the attempt takes
	Mem   int64  `json:"mem"`
}
