// Package usage keeps what control learns from late usage reports: what tasks
// of a kind really use, how much work each would lose, and how near services
// are to their targets.
//
// It is the leader's memory alone. A new leader starts from declared sizes and
// learns again within a few reports.
package usage

import (
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// minSamples is how many reports a kind needs before its size is corrected.
	minSamples = 10
	// margin is put on top of what was seen.
	margin = 1.15
	// decay is how much of a peak is kept with each report below it.
	decay = 0.995
	// minShare and maxFactor bound the correction of a declared size.
	minShare  = 0.25
	maxFactor = 4.0
	// maxAge is after how long a pressure report no longer counts.
	maxAge = 30 * time.Second
)

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	now      func() time.Time
	kinds    map[string]*kind
	lost     map[rudderfork.TaskID]int64
	pressure map[rudderfork.VMID]pressure
}

// kind is the decaying peak, over declared, of what tasks of a kind use.
type kind struct {
	samples int
	cpu     float64
	memory  float64
}

type pressure struct {
	level     float64
	exhausted bool
	at        time.Time
}

// New returns a model that knows nothing.
func New(now func() time.Time) *Model {
	return &Model{
		now: now, kinds: map[string]*kind{},
		lost: map[rudderfork.TaskID]int64{}, pressure: map[rudderfork.VMID]pressure{},
	}
}

// ObserveTask takes what a task was seen to use. unsaved is the work, in units,
// that stopping it would lose; throttled tasks say nothing about processors.
func (m *Model) ObserveTask(t rudderfork.TaskID, k string, declared, used rudderfork.Resources, unsaved int64, throttled bool) {
	m.lost[t] = unsaved
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

// Forget drops a task whose attempt has ended.
func (m *Model) Forget(t rudderfork.TaskID) { delete(m.lost, t) }

// ObservePressure takes how near a VM's services are to their targets, and
// whether its agent has throttled all there is to throttle in vain.
func (m *Model) ObservePressure(vm rudderfork.VMID, level float64, exhausted bool) {
	m.pressure[vm] = pressure{level, exhausted, m.now()}
}

// TakeExhausted reports whether throttling is not enough on a VM, once for each
// report, so that one report moves one task.
func (m *Model) TakeExhausted(vm rudderfork.VMID) bool {
	p := m.pressure[vm]
	if !p.exhausted || m.now().Sub(p.at) > maxAge {
		return false
	}
	p.exhausted = false
	m.pressure[vm] = p
	return true
}

// Pressure returns the newest report, or 0 if that is too old to count.
func (m *Model) Pressure(vm rudderfork.VMID) float64 {
	p := m.pressure[vm]
	if m.now().Sub(p.at) > maxAge {
		return 0
	}
	return p.level
}

// UnsavedWork returns the work that stopping a task would lose, in units.
func (m *Model) UnsavedWork(t rudderfork.TaskID) int64 { return m.lost[t] }

// Size corrects a declared size. Accelerators are taken as declared. Memory is
// never corrected below half, since running out of it kills.
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

func scale(declared int64, peak, least float64) int64 {
	f := min(max(peak*margin, least), maxFactor)
	return max(1, int64(float64(declared)*f))
}
