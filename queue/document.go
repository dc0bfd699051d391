package queue

import (
	"errors"
	"fmt"
	"strings"

	"rudderfork.example/rudderfork"
)

// Queue is one row of the operator's document: where jobs are handed in, which
// service's VMs run them, and how much they matter.
type Queue struct {
	Name        string             `cbor:"1,keyasint" json:"name"`
	Host        string             `cbor:"2,keyasint" json:"host"`
	Prefix      string             `cbor:"3,keyasint" json:"prefix"` // of the path
	Service     rudderfork.Service `cbor:"4,keyasint" json:"service"`
	Priority    int                `cbor:"5,keyasint,omitempty" json:"priority"`   // 0 goes first
	MaxAttempts int                `cbor:"6,keyasint" json:"attempts"`             // failures a task may have
	Stretch     float64            `cbor:"7,keyasint,omitempty" json:"stretch"`    // objective, as a multiple of the longest chain of work
	LatencyMS   int64              `cbor:"8,keyasint,omitempty" json:"latency_ms"` // objective, added to that
	Advice      *Advice            `cbor:"9,keyasint,omitempty" json:"advice,omitempty"`
}

// Advice says that an adviser decides which VMs may run a step, and its speed.
type Advice struct {
	DecideMS int64 `cbor:"1,keyasint,omitempty" json:"decide_ms"`
	EachMS   int64 `cbor:"2,keyasint,omitempty" json:"each_ms"`
	ValidMS  int64 `cbor:"3,keyasint,omitempty" json:"valid_ms"`
}

// Pool is what the document says of a service's VMs.
type Pool struct {
	Service rudderfork.Service `cbor:"1,keyasint" json:"service"`
	Guarded bool               `cbor:"2,keyasint,omitempty" json:"guarded"` // its VMs refuse what does not fit
	Spare   bool               `cbor:"3,keyasint,omitempty" json:"spare"`   // its VMs are off
}

// Limits bounds what clients hand in; 0 means no bound of the operator's.
type Limits struct {
	BodyBytes   int64 `cbor:"1,keyasint,omitempty" json:"body_bytes"`
	HeaderBytes int64 `cbor:"2,keyasint,omitempty" json:"header_bytes"`
}

// exceeded says which bound a call passes, or "".
func (l Limits) exceeded(bodyBytes, headerBytes int64) Code {
	switch {
	case l.HeaderBytes > 0 && headerBytes > l.HeaderBytes:
		return HeaderTooLarge
	case l.BodyBytes > 0 && bodyBytes > l.BodyBytes:
		return BodyTooLarge
	}
	return ""
}

// Document is the operator's whole document. A newer version replaces an older
// one as a whole. Text is what the operator sent, to be read back unchanged.
type Document struct {
	Version uint64  `cbor:"1,keyasint" json:"version"`
	Text    []byte  `cbor:"2,keyasint" json:"-"`
	Queues  []Queue `cbor:"3,keyasint" json:"queues"`
	Pools   []Pool  `cbor:"4,keyasint" json:"pools"`
	Limits  Limits  `cbor:"5,keyasint,omitempty" json:"limits"`
}

// maxQueues bounds a document; letter 1's largest table has 1,100 rows.
const maxQueues = 10_000

// Check reports the first thing wrong with the document.
func (d Document) Check() error {
	if d.Version == 0 {
		return errors.New("version: missing or 0")
	}
	if len(d.Queues) > maxQueues {
		return fmt.Errorf("%d queues; want at most %d", len(d.Queues), maxQueues)
	}
	if d.Limits.BodyBytes < 0 || d.Limits.HeaderBytes < 0 {
		return fmt.Errorf("limits: %+v; want no negative number", d.Limits)
	}
	pools := map[rudderfork.Service]bool{}
	for _, p := range d.Pools {
		if p.Service == "" || pools[p.Service] {
			return fmt.Errorf("service %q: missing or doubled name", p.Service)
		}
		pools[p.Service] = true
	}
	names, places := map[string]bool{}, map[string]bool{}
	for _, q := range d.Queues {
		place := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fmt.Errorf("queue %q: missing or doubled name", q.Name)
		case !strings.HasPrefix(q.Prefix, "/"):
			return fmt.Errorf("queue %s: prefix %q; want a path", q.Name, q.Prefix)
		case places[place]:
			return fmt.Errorf("queue %s: another queue has its host and prefix", q.Name)
		case !pools[q.Service]:
			return fmt.Errorf("queue %s: service %q is unknown", q.Name, q.Service)
		}
		names[q.Name], places[place] = true, true
	}
	return nil
}

// Find returns the queue of a host and path, by the longest prefix, and what
// follows the prefix.
func (d *Document) Find(host, path string) (q Queue, rest string, ok bool) {
	if d == nil {
		return q, "", false
	}
	for i := range d.Queues {
		c := &d.Queues[i]
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (!ok || len(c.Prefix) > len(q.Prefix)) {
			q, ok = *c, true
		}
	}
	return q, strings.TrimPrefix(path, q.Prefix), ok
}

// Queue returns the row with the given name.
func (d *Document) Queue(name string) (q Queue, ok bool) {
	if d == nil {
		return q, false
	}
	for _, c := range d.Queues {
		if c.Name == name {
			return c, true
		}
	}
	return q, false
}
