package rudderfork

import (
	"fmt"
	"strings"
	"time"
)

// Event is one entry of the timeline, the list of what the processes have done.
type Event struct {
	At       int64    `cbor:"1,keyasint" json:"at"` // Unix microseconds
	Process  string   `cbor:"2,keyasint" json:"process"`
	VM       VMID     `cbor:"3,keyasint" json:"vm"`                           // on which the process runs
	Domain   Domain   `cbor:"4,keyasint" json:"domain"`                       // of that VM
	Seq      uint64   `cbor:"5,keyasint" json:"seq"`                          // order within the process
	Kind     string   `cbor:"6,keyasint" json:"kind"`                         // for example "placed" or "vm_lost"
	Subject  string   `cbor:"7,keyasint,omitempty" json:"subject,omitempty"`  // request, task, job, VM or cell
	Revision Revision `cbor:"8,keyasint,omitempty" json:"revision,omitempty"` // of the replicated state, if the event is about a change of it
	Text     string   `cbor:"9,keyasint,omitempty" json:"text,omitempty"`
}

// String formats the event as one line of the timeline.
func (e Event) String() string {
	var b strings.Builder
	at := time.UnixMicro(e.At).UTC().Format("15:04:05.000000")
	fmt.Fprintf(&b, "%s vm=%s domain=%s process=%s event=%s", at, e.VM, e.Domain, e.Process, e.Kind)
	if e.Subject != "" {
		fmt.Fprintf(&b, " subject=%s", e.Subject)
	}
	if e.Revision != 0 {
		fmt.Fprintf(&b, " revision=%d", e.Revision)
	}
	if e.Text != "" {
		fmt.Fprintf(&b, " text=%q", e.Text)
	}
	return b.String()
}

// Recorder records events. Implementations set the time, process, VM, failure domain and sequence
// number.
type Recorder interface {
	Record(e Event)
}
