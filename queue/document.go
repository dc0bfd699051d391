package queue

import (
	"errors"
	"fmt"
	"strings"

	"rudderfork.example/rudderfork"
)

// Queue is the definition of a queue in the operator's document: where clients submit jobs, which
// service's VMs run them, and their priority and objectives.
type Queue struct {
	Name        string             `cbor:"1,keyasint" json:"name"`
	Host        string             `cbor:"2,keyasint" json:"host"`
	Prefix      string             `cbor:"3,keyasint" json:"prefix"` // of the URL path
	Service     rudderfork.Service `cbor:"4,keyasint" json:"service"`
	Priority    int                `cbor:"5,keyasint,omitempty" json:"priority"` // 0 is the most important
	MaxAttempts int                `cbor:"6,keyasint" json:"attempts"`           // failures of a task at which its job fails; 0 means 1

	// The objective for the completion time of a job is Stretch, or 1 if that is less, times the
	// length of its critical path, plus LatencyMS.
	Stretch   float64 `cbor:"7,keyasint,omitempty" json:"stretch"`
	LatencyMS int64   `cbor:"8,keyasint,omitempty" json:"latency_ms"`

	Advice *Advice `cbor:"9,keyasint,omitempty" json:"advice,omitempty"` // nil if the queue has no adviser
}

// Advice means that an adviser decides which VMs may run a step. The fields describe its timing. Only
// ValidMS is used: how long a ticket stays valid, 0 for a default.
type Advice struct {
	DecideMS int64 `cbor:"1,keyasint,omitempty" json:"decide_ms"`
	EachMS   int64 `cbor:"2,keyasint,omitempty" json:"each_ms"`
	ValidMS  int64 `cbor:"3,keyasint,omitempty" json:"valid_ms"`
}

// Pool describes the VMs of a service.
type Pool struct {
	Service rudderfork.Service `cbor:"1,keyasint" json:"service"`
	Guarded bool               `cbor:"2,keyasint,omitempty" json:"guarded"` // its VMs refuse runs that do not fit
	Spare   bool               `cbor:"3,keyasint,omitempty" json:"spare"`   // its VMs are switched off
}

// Limits bounds the requests of clients, in bytes; 0 means no limit.
type Limits struct {
	BodyBytes   int64 `cbor:"1,keyasint,omitempty" json:"body_bytes"`
	HeaderBytes int64 `cbor:"2,keyasint,omitempty" json:"header_bytes"`
}

// exceeded returns the code of the limit that a request exceeds, or "".
func (l Limits) exceeded(bodyBytes, headerBytes int64) Code {
	switch {
	case l.HeaderBytes > 0 && headerBytes > l.HeaderBytes:
		return HeaderTooLarge
	case l.BodyBytes > 0 && bodyBytes > l.BodyBytes:
		return BodyTooLarge
	}
	return ""
}

// Document is the operator's definition of the queues. A newer version replaces an older one as a
// whole. Text is the document as the operator sent it, returned unchanged on request.
type Document struct {
	Version uint64  `cbor:"1,keyasint" json:"version"`
	Text    []byte  `cbor:"2,keyasint" json:"-"`
	Queues  []Queue `cbor:"3,keyasint" json:"queues"`
	Pools   []Pool  `cbor:"4,keyasint" json:"pools"`
	Limits  Limits  `cbor:"5,keyasint,omitempty" json:"limits"`
}

// maxQueues bounds the number of queues in a document. The users' largest document has 1,100.
const maxQueues = 10_000

// Check returns an error for the first invalid part of the document.
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
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, q := range d.Queues {
		address := q.Host + " " + q.Prefix
		switch {
		case q.Name == "" || names[q.Name]:
			return fmt.Errorf("queue %q: missing or doubled name", q.Name)
		case !strings.HasPrefix(q.Prefix, "/"):
			return fmt.Errorf("queue %s: prefix %q; want a path", q.Name, q.Prefix)
		case addresses[address]:
			return fmt.Errorf("queue %s: another queue has its host and prefix", q.Name)
		case !pools[q.Service]:
			return fmt.Errorf("queue %s: service %q is unknown", q.Name, q.Service)
		}
		names[q.Name], addresses[address] = true, true
	}
	return nil
}

// Find returns the queue with the longest prefix that matches a host and path, and the rest of the
// path after the prefix.
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

// Queue returns the queue with the given name.
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
