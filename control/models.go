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

// usageModels holds the models of interference and usage that the leader derives
// from the heartbeats of agents. It is safe for concurrent use, and implements
// placement.Usage and rudderfork.Interference.
type usageModels struct {
	mu           sync.Mutex
	interference *interference.Model
	usage        *usage.Model
	reportedAt   map[rudderfork.VMID]time.Time // when the newest usage report was received
}

// observeHeartbeat updates the models with the usage report in an agent's heartbeat.
func (m *usageModels) observeHeartbeat(s *state.State, vm rudderfork.VMID, hb wire.Heartbeat, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedAt == nil {
		m.reportedAt = map[rudderfork.VMID]time.Time{}
	}
	m.reportedAt[vm] = now
	shares := m.observeTasks(s, vm, hb.Tasks)
	pressure := 0.0
	for _, u := range hb.Services {
		if u.Requests == 0 {
			continue
		}
		target := s.Value(rudderfork.CellKey{Kind: rudderfork.RowService, Row: string(u.Service), Column: rudderfork.ColTargetMS})
		pressure = max(pressure, float64(u.TailUS)/1000/float64(target))
		m.interference.Observe(interference.Sample{
			Service: u.Service, At: now, Latency: time.Duration(u.MeanUS) * time.Microsecond,
			Busy: u.Busy, Shares: shares,
		})
	}
	m.usage.ObservePressure(vm, pressure, hb.Exhausted)
}

// observeTasks updates the models with the usage of tasks. It returns, by kind, the
// fraction of the VM's processors that they use.
func (m *usageModels) observeTasks(s *state.State, vm rudderfork.VMID, ts []wire.TaskUsage) map[string]float64 {
	shares := map[string]float64{}
	v := s.VM(vm)
	for _, u := range ts {
		t := s.Task(u.Task)
		if t == nil || v == nil || t.Token != u.Token {
			continue
		}
		kind := s.Job(t.Job).Spec.Kind
		m.usage.ObserveTask(u.Task, kind, s.JobSize(t.Job), u.Used, u.Progress-u.Checkpoint, u.Throttle > 0)
		shares[kind] += float64(u.Used.CPUMilli) / float64(max(1, v.Capacity.CPUMilli))
	}
	return shares
}

// ReportAge returns the age of the newest usage report of a VM. ok is false if there
// is none.
func (m *usageModels) ReportAge(vm rudderfork.VMID, now time.Time) (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.reportedAt[vm]
	return now.Sub(at), ok
}

// forgetTask deletes the usage of a task whose attempt has ended.
func (m *usageModels) forgetTask(t rudderfork.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Forget(t)
}

// setSlowdowns sets in each lease the largest factor by which tasks of its kind are
// expected to slow down one of the services, so that the agent throttles the most
// harmful tasks first.
func (m *usageModels) setSlowdowns(ls []rudderfork.Lease, services []rudderfork.Service, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range ls {
		for _, s := range services {
			factor, _ := m.interference.Slowdown(s, ls[i].Kind, now)
			ls[i].Slowdown = max(ls[i].Slowdown, factor)
		}
	}
}

// Pressure implements placement.Usage.
func (m *usageModels) Pressure(vm rudderfork.VMID) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.Pressure(vm)
}

// TakeExhausted implements placement.Usage.
func (m *usageModels) TakeExhausted(vm rudderfork.VMID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.TakeExhausted(vm)
}

// Size implements placement.Usage.
func (m *usageModels) Size(kind string, declared rudderfork.Resources) rudderfork.Resources {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.Size(kind, declared)
}

// UnsavedWork implements placement.Usage.
func (m *usageModels) UnsavedWork(t rudderfork.TaskID) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage.UnsavedWork(t)
}

// Slowdown implements rudderfork.Interference.
func (m *usageModels) Slowdown(s rudderfork.Service, kind string, now time.Time) (factor, stderr float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.interference.Slowdown(s, kind, now)
}
