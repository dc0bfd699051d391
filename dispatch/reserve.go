package dispatch

import (
	"math"

	"rudderfork.example/rudderfork/queue"
)

// Short tasks, those that neither last nor fill, need processors that are counted,
// and so do lasting tasks. A lasting task that begins later loses that time; a short
// one that finds no room misses its objective altogether, which allows it a fraction
// of a second. So while VMs are nearly full, lasting tasks begin only where room is
// left for as many short tasks as are usually there at once.
const (
	// shortHalfLifeMS is when what was seen of short tasks counts half: bursts of
	// clients and their ends are told within it.
	shortHalfLifeMS = 5_000
	// reserveFrom is the part of the processors from which room is kept. Below it
	// lasting tasks always begin: users count them as lost where they wait while less
	// than half is in use.
	reserveUtilization = 0.75
)

// ShortTasks is what a plan found of short tasks.
type ShortTasks struct {
	Running  int
	Waiting  int   // and can still be in time
	CPUMilli int64 // of all of them, thousandths of a core
}

// ShortDemand is what was seen of short tasks, over the last plans. The zero value
// has seen nothing.
type ShortDemand struct {
	at     int64   // of the newest plan, Unix ms; 0 before the first
	tasks  float64 // at once, in the mean
	spread float64 // mean distance from that
	cpu    float64 // of one, in thousandths of a core, in the mean
}

// Observe takes what a plan found at a time, Unix ms.
func (d *ShortDemand) Observe(s ShortTasks, now int64) {
	tasks := float64(s.Running + s.Waiting)
	if d.at == 0 {
		d.tasks, d.at = tasks, now
	}
	weight := 1 - math.Exp2(-float64(max(0, now-d.at))/shortHalfLifeMS)
	d.at = max(d.at, now)
	d.spread += weight * (math.Abs(tasks-d.tasks) - d.spread)
	d.tasks += weight * (tasks - d.tasks)
	if tasks == 0 {
		return
	}
	each := float64(s.CPUMilli) / tasks
	if d.cpu == 0 {
		d.cpu = each
	}
	d.cpu += weight * (each - d.cpu)
}

// reserve is the room that is kept for short tasks in a plan.
type reserve struct {
	taskCPU    int64 // of a short task, thousandths of a core; 0 while none was seen
	slots      int   // for further ones, on all VMs
	keep       int   // how many of these are to be left
	nearlyFull bool  // VMs are nearly full
}

// reserveRoom finds out what there is of short tasks, and the room to keep for them.
func (p *pass) reserveRoom() {
	for _, n := range p.jobs {
		p.countShort(n)
	}
	seen := p.view.ShortDemand
	r := reserve{taskCPU: int64(seen.cpu), keep: int(math.Ceil(seen.tasks+seen.spread)) - p.plan.ShortTasks.Running}
	free, whole := int64(0), int64(0)
	for _, v := range p.vms {
		if v.schedulable {
			free += v.free.CPUMilli
			whole += v.vm.Capacity.CPUMilli
			r.slots += r.slotsIn(v.free.CPUMilli)
		}
	}
	r.nearlyFull = float64(whole-free) > reserveUtilization*float64(whole)
	p.reserve = r
}

// addShort counts a job's short tasks.
func (p *pass) countShort(n *jobState) {
	found := &p.plan.ShortTasks
	found.Running += n.shortRunning.Running
	found.CPUMilli += n.shortRunning.CPUMilli
	if n.rank(p.view.Now).late {
		return
	}
	for _, w := range n.waiting {
		if st := &n.job.Spec.Steps[w.Step]; kindOf(st) == Short && p.isReady(n, w) {
			found.Waiting += w.tasks
			found.CPUMilli += int64(w.tasks) * st.Size.CPUMilli
		}
	}
}

// slotsOf is how many short tasks a VM has room for.
func (r *reserve) slotsIn(free int64) int {
	if r.taskCPU <= 0 {
		return 0
	}
	return int(max(0, free) / r.taskCPU)
}

// allows reports whether a task may take room on a VM: one that lasts and never began
// leaves enough for short ones.
func (r *reserve) allows(cl *taskClass, t *queue.Task, v *vmState) bool {
	if !r.nearlyFull || r.taskCPU <= 0 || !cl.step.Lasting || t.LastRun > 0 {
		return true
	}
	return r.slots-r.slotsTaken(cl, v) >= r.keep
}

// taken is how many short tasks less the VM has room for with a task of a class.
func (r *reserve) slotsTaken(cl *taskClass, v *vmState) int {
	return r.slotsIn(v.free.CPUMilli) - r.slotsIn(v.free.CPUMilli-cl.need.CPUMilli)
}
