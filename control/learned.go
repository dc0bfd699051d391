package control

import (
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/usage"
	"rudderfork.example/rudderfork/wire"
)

// learned is what the leader knows from usage reports. It is safe for
// concurrent use, and implements placement.Usage and rudderfork.Interference.
type learned struct {
	mu           sync.Mutex
	interference *interference.Model
	usage        *usage.Model
	reports      map[rudderfork.VMID]time.Time // when the newest came
}

// beat takes an agent's report.
func (l *learned) beat(s *state.State, vm rudderfork.VMID, b wire.Heartbeat, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = map[rudderfork.VMID]time.Time{}
	}
	l.reports[vm] = now
	shares := l.tasks(s, vm, b.Tasks)
	level := 0.0
	for _, u := range b.Services {
		if u.Requests == 0 {
			continue
		}
		target := s.Value(rudderfork.CellKey{Kind: rudderfork.RowService, Row: string(u.Service), Column: rudderfork.ColTargetMS})
		level = max(level, float64(u.TailUS)/1000/float64(target))
		l.interference.Observe(interference.Sample{
			Service: u.Service, At: now, Latency: time.Duration(u.MeanUS) * time.Microsecond,
			Busy: u.Busy, Shares: shares,
		})
	}
	l.usage.ObservePressure(vm, level, b.Exhausted)
}

// tasks takes the usage of tasks and returns the share of processors by kind.
func (l *learned) tasks(s *state.State, vm rudderfork.VMID, ts []wire.TaskUsage) map[string]float64 {
	shares := map[string]float64{}
	v := s.VM(vm)
	for _, u := range ts {
		t := s.Task(u.Task)
		if t == nil || v == nil || t.Token != u.Token {
			continue
		}
		kind := s.Job(t.Job).Spec.Kind
		l.usage.ObserveTask(u.Task, kind, s.JobSize(t.Job), u.Used, u.Progress-u.Checkpoint, u.Throttle > 0)
		shares[kind] += float64(u.Used.CPUMilli) / float64(max(1, v.Capacity.CPUMilli))
	}
	return shares
}

// ReportAge returns how old the newest report of a VM is; ok is false if there
// is none.
func (l *learned) ReportAge(vm rudderfork.VMID, now time.Time) (age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.reports[vm]
	return now.Sub(at), ok
}

// forget drops what is known of an attempt that has ended.
func (l *learned) forget(t rudderfork.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage.Forget(t)
}

// rate notes on leases how much their kinds are expected to slow the services,
// so that the agent throttles the worst first.
func (l *learned) rate(ls []rudderfork.Lease, services []rudderfork.Service, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range ls {
		for _, s := range services {
			factor, _ := l.interference.Slowdown(s, ls[i].Kind, now)
			ls[i].Slowdown = max(ls[i].Slowdown, factor)
		}
	}
}

// Pressure implements placement.Usage.
func (l *learned) Pressure(vm rudderfork.VMID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.Pressure(vm)
}

// TakeExhausted implements placement.Usage.
func (l *learned) TakeExhausted(vm rudderfork.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.TakeExhausted(vm)
}

// Size implements placement.Usage.
func (l *learned) Size(kind string, declared rudderfork.Resources) rudderfork.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.Size(kind, declared)
}

// UnsavedWork implements placement.Usage.
func (l *learned) UnsavedWork(t rudderfork.TaskID) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage.UnsavedWork(t)
}

// Slowdown implements rudderfork.Interference.
func (l *learned) Slowdown(s rudderfork.Service, kind string, now time.Time) (factor, stderr float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interference.Slowdown(s, kind, now)
}
