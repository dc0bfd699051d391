// Package usage keeps what the leader of the control processes learns from the usage
// reports of agents: the resources that tasks of a kind use, the unsaved work of each
// task, and the ratio of the services' tail latency to its target.
//
// It is not replicated. A new leader starts from declared sizes and learns again
// within a few reports.
package usage

import (
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// minSamples is the number of reports on a kind before its size is corrected.
	minSamples = 10
	// margin is the factor by which a corrected size exceeds the measured peak.
	margin = 1.15
	// decay is the factor by which each report multiplies the earlier peak.
	decay = 0.995
	// minShare and maxFactor are the least and greatest ratio of a corrected size to the
	// declared one. For memory the least ratio is 2*minShare.
	minShare  = 0.25
	maxFactor = 4.0
	// maxAge is the age above which a pressure report is ignored.
	maxAge = 30 * time.Second
)

// Model holds the learned values. It is not safe for concurrent use.
type Model struct {
	now      func() time.Time
	kinds    map[string]*kind
	unsaved  map[rudderfork.TaskID]int64 // units of work since the last checkpoint
	pressure map[rudderfork.VMID]pressure
}

// kind holds the decaying peaks of what tasks of a kind use, as a ratio to their
// declared size.
type kind struct {
	samples int     // number of reports
	cpu     float64 // 0 if it is unknown
	memory  float64
}

// pressure is the newest pressure report about a VM.
type pressure struct {
	level     float64   // tail latency of the VM's services divided by their target
	exhausted bool      // see TakeExhausted
	at        time.Time // when the report arrived
}

// New returns a model without reports. now returns the present time.
func New(now func() time.Time) *Model {
	return &Model{
		now: now, kinds: map[string]*kind{},
		unsaved: map[rudderfork.TaskID]int64{}, pressure: map[rudderfork.VMID]pressure{},
	}
}

// ObserveTask takes the measured use of a task of kind k. unsaved is its work since
// the last checkpoint, in units. The use of processors of a throttled task is
// ignored, since the task would use more without throttling.
func (m *Model) ObserveTask(t rudderfork.TaskID, k string, declared, used rudderfork.Resources, unsaved int64, throttled bool) {
	m.unsaved[t] = unsaved
	if declared.CPUMilli <= 0 || declared.MemoryMB <= 0 {
		return
	}
	o := m.kinds[k]
	if o == nil {
		o = &kind{}
		m.kinds[k] = o
	}
	o.samples++
	o.memory = max(o.memory*decay, float64(used.MemoryMB)/float64(declared.MemoryMB))
	if !throttled {
		o.cpu = max(o.cpu*decay, float64(used.CPUMilli)/float64(declared.CPUMilli))
	}
}

// Forget removes the unsaved work of a task whose attempt has ended.
func (m *Model) Forget(t rudderfork.TaskID) { delete(m.unsaved, t) }

// ObservePressure takes the pressure of a VM, which is the tail latency of its services
// divided by their target, and whether it stays above 1 although the agent throttles
// all tasks fully.
func (m *Model) ObservePressure(vm rudderfork.VMID, level float64, exhausted bool) {
	m.pressure[vm] = pressure{level, exhausted, m.now()}
}

// TakeExhausted reports whether throttling is not enough on a VM. It returns true at
// most once for each report, so that a report causes at most one eviction.
func (m *Model) TakeExhausted(vm rudderfork.VMID) bool {
	p := m.pressure[vm]
	if !p.exhausted || m.now().Sub(p.at) > maxAge {
		return false
	}
	p.exhausted = false
	m.pressure[vm] = p
	return true
}

// Pressure returns the newest reported pressure, or 0 if the report is too old.
func (m *Model) Pressure(vm rudderfork.VMID) float64 {
	p := m.pressure[vm]
	if m.now().Sub(p.at) > maxAge {
		return 0
	}
	return p.level
}

// UnsavedWork returns the work that stopping a task would lose, in units.
func (m *Model) UnsavedWork(t rudderfork.TaskID) int64 { return m.unsaved[t] }

// Size returns the declared size, corrected by the measured use of the kind.
// Accelerators are not corrected. Memory is not corrected below half of the
// declared size, since a task that runs out of memory is killed.
func (m *Model) Size(k string, declared rudderfork.Resources) rudderfork.Resources {
	o := m.kinds[k]
	if o == nil || o.samples < minSamples {
		return declared
	}
	r := declared
	if o.cpu > 0 {
		r.CPUMilli = scale(declared.CPUMilli, o.cpu, minShare)
	}
	r.MemoryMB = scale(declared.MemoryMB, o.memory, 2*minShare)
	return r
}

// scale returns a declared size times the measured peak and margin, within the bounds.
func scale(declared int64, peak, minFactor float64) int64 {
	f := min(max(peak*margin, minFactor), maxFactor)
	return max(1, int64(float64(declared)*f))
}
