package scheduler

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/vmspeed"
)

const (
	// A VM is logged as slow below slowSpeed, and as no longer slow from recoveredSpeed on. The
	// gap keeps an estimate close to slowSpeed from being logged again and again.
	slowSpeed      = 0.6
	recoveredSpeed = 0.75
)

// speeds estimates the speeds of VMs from the progress of their runs. A nil one, which is used
// if the policy is off, knows no speed.
type speeds struct {
	model *vmspeed.Model
	slow  map[rudderfork.VMID]bool // VMs logged as slow
}

func newSpeeds(p Policies) *speeds {
	if !p.LearnSpeeds {
		return nil
	}
	return &speeds{vmspeed.New(), map[rudderfork.VMID]bool{}}
}

// speedChange is a VM that has become slow or has recovered, for the log.
type speedChange struct {
	vm       rudderfork.VMID
	slow     bool
	estimate vmspeed.Estimate
	runs     int // number of runs reported now
}

// observeSpeed adds the progress of a VM's runs that are committed for it. It returns nil unless
// the VM has become slow or has recovered.
func (f *fleet) observeSpeed(s *queue.State, vm *queue.VM, v *vmInfo, now time.Time) *speedChange {
	if f.speeds == nil {
		return nil
	}
	var list []vmspeed.Progress
	for k, r := range v.runs {
		if vm.Runs()[k] == r.status.Run && showsSpeed(s.Job(k.Job), k) {
			list = append(list, f.progress(s, k.Run(r.status.Run), r.status.Percent, r.workedMS))
		}
	}
	f.speeds.model.Observe(vm.ID, vm.Incarnation, list, now)
	return f.speeds.change(vm.ID, len(list), now)
}

// showsSpeed reports whether the progress of a task shows the speed of its VM. Lasting tasks make
// none.
func showsSpeed(j *queue.Job, k queue.TaskKey) bool {
	return j != nil && j.Task(k) != nil && !j.Spec.Steps[k.Step].Lasting
}

// progress returns the progress of a run of a live job.
func (f *fleet) progress(s *queue.State, k queue.RunKey, percent int, workedMS float64) vmspeed.Progress {
	j := s.Job(k.Job)
	return vmspeed.Progress{
		Run: k, Percent: percent, WorkedMS: workedMS,
		ExpectedMS: f.workTimes.Estimate(s.CurrentQueue(j).Name, k.StepKey(), &j.Spec.Steps[k.Step]),
	}
}

// change returns the change to log for a VM, if there is one.
func (s *speeds) change(id rudderfork.VMID, runs int, now time.Time) *speedChange {
	e, was := s.model.Estimate(id, now), s.slow[id]
	isSlow := e.Certain() < slowSpeed || was && e.Certain() < recoveredSpeed
	if isSlow == was {
		return nil
	}
	s.slow[id] = isSlow
	if !isSlow {
		delete(s.slow, id)
	}
	return &speedChange{id, isSlow, e, runs}
}

// observeSpeedEnd adds a run that has completed its task. started is when the run was started by
// the state's clock, Unix ms.
func (f *fleet) observeSpeedEnd(s *queue.State, vm *queue.VM, e queue.End, now time.Time) {
	if f.speeds == nil || e.Outcome != queue.OutcomeDone || !showsSpeed(s.Job(e.Task.Job), e.Task) {
		return
	}
	worked := 0.0
	if r := f.vm(vm.ID).runs[e.Task]; r != nil && r.status.Run == e.Run {
		worked = r.worked(now)
	} else if run, ok := s.Job(e.Task.Job).Task(e.Task).Run(e.Run); ok {
		worked = float64(rudderfork.Millis(now) - run.StartedAt) // ended before it was reported
	}
	f.speeds.model.ObserveEnd(vm.ID, vm.Incarnation, f.progress(s, e.Task.Run(e.Run), fullPercent, worked), now)
}

// usualWork returns the work time of a task on a VM of the usual speed, for a task that took
// workedMS on the given VM. Otherwise work times that slow VMs take would count as the usual ones.
func (s *speeds) usualWork(id rudderfork.VMID, workedMS float64, now time.Time) float64 {
	if s == nil {
		return workedMS
	}
	return workedMS * s.model.Estimate(id, now).Certain()
}

// addTo sets the speeds of the VMs in a view.
func (s *speeds) addTo(vms map[rudderfork.VMID]dispatch.VMView, now time.Time) {
	if s == nil {
		return
	}
	for id, v := range vms {
		v.Speed = s.model.Estimate(id, now).Certain()
		vms[id] = v
	}
}

// prune drops VMs that are no longer known.
func (s *speeds) prune(qs *queue.State) {
	if s != nil {
		s.model.Prune(func(id rudderfork.VMID) bool { return qs.VM(id) != nil })
	}
}

// logSpeed logs that a VM has become slow or has recovered. c may be nil.
func (s *Scheduler) logSpeed(c *speedChange) {
	if c == nil {
		return
	}
	s.log.Info().Str("vm", string(c.vm)).Bool("slow", c.slow).Float64("speed", c.estimate.Speed).
		Float64("error", c.estimate.StdErr).Int("runs", c.runs).Msg("vm_slow")
	text := "it works at the usual speed again"
	if c.slow {
		text = "it is slower than usual"
	}
	s.record("vm_slow", string(c.vm), text)
}
