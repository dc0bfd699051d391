package queue

import (
	"slices"
)

// Crash is the report of a VM's agent on an incarnation that has or may have crashed: the executor
// does not answer, or another incarnation followed without a shutdown notice.
type Crash struct {
	Incarnation string `cbor:"1,keyasint"`
	// Runs are the runs that had or may have begun when the executor was first found not to answer.
	// A run of the VM that is not listed had not begun.
	Runs []RunAge `cbor:"2,keyasint,omitempty"`
	// Draining means that the executor had announced its shutdown, so that it did not crash.
	Draining bool `cbor:"3,keyasint,omitempty"`
}

// RunAge is a run and its age when its executor was first found not to answer.
type RunAge struct {
	Task  TaskKey `cbor:"1,keyasint"`
	Run   uint32  `cbor:"2,keyasint"`
	AgeMS int64   `cbor:"3,keyasint,omitempty"` // ms since the run began
	// Confirmed means that the executor confirmed the start of the run. Otherwise the agent's call
	// that starts it may not have reached the executor.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
}

// ForIncarnation returns c if it is about the given incarnation, else nil. c may be nil.
func (c *Crash) ForIncarnation(inc string) *Crash {
	if c == nil || c.Incarnation != inc {
		return nil
	}
	return c
}

// announced reports whether the executor had announced its shutdown. c may be nil.
func (c *Crash) announced() bool { return c != nil && c.Draining }

// find returns the entry of a run; ok is false for a run that had not begun.
func (c *Crash) find(k TaskKey, run uint32) (r RunAge, ok bool) {
	i := slices.IndexFunc(c.Runs, func(r RunAge) bool { return r.Task == k && r.Run == run })
	if i < 0 {
		return r, false
	}
	return c.Runs[i], true
}

// filterBegun returns the entries of those runs in list that had begun.
func (c *Crash) filterBegun(list []RunAge) (known []RunAge) {
	for _, r := range list {
		if k, began := c.find(r.Task, r.Run); began {
			known = append(known, k)
		}
	}
	return known
}
