package dispatch

import "rudderfork.example/rudderfork/queue"

const (
	// stillMS is how long a run's progress may stand still before the run is
	// taken for stuck. A task of 4.3 s, the longest usual, on a VM eight times
	// too slow moves by a percent every 350 ms; this is four times that.
	stillMS = 1_500
	// startupMS is how long a lasting task may take until it is at work.
	startupMS = 4_000
	// heldMS is how long a filler must be held down before it is moved, and
	// moveSpeed what it must expect elsewhere: more than a move costs it, with
	// its restart and a second of work.
	heldMS    = 1_000
	restMS    = 2_000 // between two moves of a task
	moveSpeed = 0.6
	// maxMoves bounds the fillers moved in one plan, since each changes what the
	// next one can expect.
	maxMoves = 2
	// littleDone is the part of its work, in percent, up to which a filler that
	// keeps no checkpoint is moved too.
	littleDone = 15
)

// Stuck is the reason for stopping a run that gets nowhere.
const Stuck = "its progress stands still"

// HeldBack is the reason for moving a filler.
const HeldBack = "it is held back by the tasks beside it"

// stops plans the ends of a job's runs that should not go on.
func (p *planner) stops(j *queue.Job) {
	for time, o := range j.Times {
		for step := range o.Steps {
			for index := range o.Steps[step] {
				t := &o.Steps[step][index]
				for _, r := range t.Runs {
					k := queue.TaskKey{Job: j.ID, Time: time, Step: step, Index: index}
					if why := p.stopReason(j, k, t, r); why != "" {
						p.plan.Stops = append(p.plan.Stops, Stop{k, r.Number, r.VM, why})
					}
				}
			}
		}
	}
}

func (p *planner) stopReason(j *queue.Job, k queue.TaskKey, t *queue.Task, r queue.Run) string {
	st := j.Spec.Steps[k.Step]
	vm := p.view.VMs[r.VM]
	switch {
	case j.Status.Final():
		return "the job is " + string(j.Status)
	case t.Done:
		return "another run has done the task"
	case !vm.Usable:
		return ""
	case st.Lasting && vm.Draining:
		return "the VM is about to leave"
	case p.stuck(st, k, r):
		return Stuck
	case p.heldBack(j, k, r):
		p.moves++
		return HeldBack
	}
	return ""
}

// heldBack reports whether a filler is held down here and would work elsewhere.
func (p *planner) heldBack(j *queue.Job, k queue.TaskKey, r queue.Run) bool {
	run, ok := p.view.Runs[k]
	if !ok || run.Number != r.Number || run.HeldAt == 0 || p.view.Now-run.HeldAt < heldMS || p.view.Now-r.StartedAt < restMS || p.moves >= maxMoves {
		return false
	}
	if !j.Spec.Steps[k.Step].Checkpoints && run.Percent > littleDone {
		return false
	}
	return p.betterPlace(j, k, r.VM)
}

// stuck reports whether a run gets nowhere. Fillers may be paced to a
// standstill, so nothing is concluded from theirs.
func (p *planner) stuck(st queue.Step, k queue.TaskKey, r queue.Run) bool {
	run, ok := p.view.Runs[k]
	if !ok || run.Number != r.Number || st.Filler || st.Gang {
		return false
	}
	still := p.view.Now - run.MovedAt
	if st.Lasting {
		return run.Percent < 100 && still > startupMS
	}
	return still > stillMS
}
