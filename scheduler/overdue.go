package scheduler

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
)

// overdueAfter is how long after its start a run of a usable VM may be unheard of: the
// order, the start, an account and a heartbeat, and one repetition.
const overdueAfter = 2500 * time.Millisecond

// overdueRun is a run that its VM, which is in session, does not report.
type overdueRun struct {
	queue.RunKey
	vm           rudderfork.VMID
	age          time.Duration // since its start was committed
	heartbeatAge time.Duration // of the VM's newest heartbeat
	epoch        uint64
	reported     int // of the VM's runs
}

// logOverdue logs the runs that have become overdue, each once, and counts those that
// are.
func (s *Scheduler) logOverdue() {
	now := steady.Now()
	list := s.overdueRuns(now)
	s.met.overdue.Set(float64(len(list)))
	known := s.overdue
	s.overdue = make(map[queue.RunKey]bool, len(list))
	for _, r := range list {
		s.overdue[r.RunKey] = true
		if known[r.RunKey] {
			continue
		}
		s.log.Warn().Str("task", r.TaskKey.String()).Uint32("run", r.Number).Str("on", string(r.vm)).Dur("age", r.age).
			Dur("beat_age", r.heartbeatAge).Uint64("epoch", r.epoch).Int("reported", r.reported).Msg("run_overdue")
		s.record("run_overdue", r.TaskKey.String(), "on "+string(r.vm)+": it was not seen to begin")
	}
}

// overdueRuns returns the runs of usable VMs that were not heard of for long.
func (s *Scheduler) overdueRuns(now time.Time) (list []overdueRun) {
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, vm := range st.Queues().VMs() {
			v := s.fleet.vm(vm.ID)
			if !v.usable(now) {
				continue
			}
			for k, number := range vm.Runs() {
				if r := v.runs[k]; r != nil && r.status.Run == number {
					continue
				}
				run, _ := st.Queues().Job(k.Job).Task(k).Run(number)
				if age := now.Sub(rudderfork.FromMillis(run.StartedAt)); age > overdueAfter {
					list = append(list, overdueRun{k.Run(number), vm.ID, age, now.Sub(v.heartbeatAt), vm.Epoch, len(v.runs)})
				}
			}
		}
	})
	return list
}
