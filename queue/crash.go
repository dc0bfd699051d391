package queue

import (
	"slices"
)

// Crash is what a VM's agent knows of a life of the executor that answers no more, or
// that another has followed without a farewell.
type Crash struct {
	Incarnation string `cbor:"1,keyasint"`
	// Runs are those that were at work when the executor was first found silent, or that
	// may have been. A run of the VM that is not among them never began.
	Runs []RunAge `cbor:"2,keyasint,omitempty"`
	// Draining says that it was about to leave: its end was announced.
	Draining bool `cbor:"3,keyasint,omitempty"`
}

// RunAge is how long a run had been at work when its executor was found silent.
type RunAge struct {
	Task  TaskKey `cbor:"1,keyasint"`
	Run   uint32  `cbor:"2,keyasint"`
	AgeMS int64   `cbor:"3,keyasint,omitempty"`
	// Confirmed says that the executor confirmed the run; the start of another may have been
	// lost on its way.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
}

// ForIncarnation returns the crash if it is of a life, else nil.
func (c *Crash) ForIncarnation(life string) *Crash {
	if c == nil || c.Incarnation != life {
		return nil
	}
	return c
}

// announced reports whether the life was about to leave.
func (c *Crash) announced() bool { return c != nil && c.Draining }

// find returns what is known of a run; ok is false for one that never began.
func (c *Crash) find(k TaskKey, run uint32) (r RunAge, ok bool) {
	i := slices.IndexFunc(c.Runs, func(r RunAge) bool { return r.Task == k && r.Run == run })
	if i < 0 {
		return r, false
	}
	return c.Runs[i], true
}

// filterBegun returns what is known of the runs of a list that had begun.
func (c *Crash) filterBegun(list []RunAge) (known []RunAge) {
	for _, r := range list {
		if k, began := c.find(r.Task, r.Run); began {
			known = append(known, k)
		}
	}
	return known
}
