package scheduler

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
)

// overdueAfter is how long after the commit of its start a run of a usable VM may be missing from
// the VM's heartbeats. It is enough to send the order, start the run, poll the executor and send a
// heartbeat, with one retry.
const overdueAfter = 2500 * time.Millisecond

// overdueRun is a run that is missing from its VM's heartbeats although the VM is usable.
type overdueRun struct {
	queue.RunKey
	vm           rudderfork.VMID
	age          time.Duration // since its start was committed
	heartbeatAge time.Duration // age of the VM's newest heartbeat
	epoch        uint64
	reported     int // number of runs that the VM reports
}

// logOverdue logs each run when it becomes overdue, and sets the metric of overdue runs.
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

// overdueRuns returns the overdue runs of usable VMs.
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
