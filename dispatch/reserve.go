package dispatch

import (
	"math"

	"rudderfork.example/rudderfork/queue"
)

// Short tasks and lasting tasks reserve processors, unlike fillers. A lasting task that
// starts later loses only that time, but a short task that finds no free processors misses
// its objective, which allows it to wait a fraction of a second. So while the VMs are nearly
// full, a new lasting task starts only if capacity remains for as many short tasks as
// usually run or wait at the same time.
const (
	// shortHalfLifeMS is the half-life of an observation of short tasks, ms. Bursts of jobs
	// of client accounts begin and end within this time.
	shortHalfLifeMS = 5_000
	// reserveUtilization is the share of all processors in use above which capacity is
	// reserved. Below it lasting tasks always start: users consider a lasting task lost that
	// waits while less than half of the processors are in use.
	reserveUtilization = 0.75
)

// ShortTasks counts the short tasks found by a plan.
type ShortTasks struct {
	Running  int
	Waiting  int   // tasks that are ready, have no run, and are of jobs that can still be in time
	CPUMilli int64 // processors that all of these tasks reserve, thousandths of a core
}

// ShortDemand is a moving average of the short tasks found by recent plans. The zero
// value is ready to use.
type ShortDemand struct {
	at     int64   // time of the latest plan, Unix ms; 0 before the first
	tasks  float64 // mean number of tasks that run or wait at the same time
	spread float64 // mean absolute deviation of that number
	cpu    float64 // mean size of a task, thousandths of a core
}

// Observe adds the short tasks found by a plan at a time, Unix ms.
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
	size := float64(s.CPUMilli) / tasks
	if d.cpu == 0 {
		d.cpu = size
	}
	d.cpu += weight * (size - d.cpu)
}

// reserve is the capacity kept free for short tasks in a plan.
type reserve struct {
	taskCPU    int64 // mean size of a short task, thousandths of a core; 0 if none was seen
	slots      int   // number of further short tasks of that size that fit on all VMs together
	keep       int   // number of slots to keep free; 0 or less for none
	nearlyFull bool  // utilization exceeds reserveUtilization
}

// computeReserve counts the short tasks and computes the reserve.
func (p *pass) computeReserve() {
	for _, js := range p.jobs {
		p.countShort(js)
	}
	seen := p.view.ShortDemand
	r := reserve{taskCPU: int64(seen.cpu), keep: int(math.Ceil(seen.tasks+seen.spread)) - p.plan.ShortTasks.Running}
	free, total := int64(0), int64(0)
	for _, v := range p.vms {
		if v.schedulable {
			free += v.free.CPUMilli
			total += v.vm.Capacity.CPUMilli
			r.slots += r.slotsIn(v.free.CPUMilli)
		}
	}
	r.nearlyFull = float64(total-free) > reserveUtilization*float64(total)
	p.reserve = r
}

// countShort adds the short tasks of a job to the plan's count.
func (p *pass) countShort(js *jobState) {
	found := &p.plan.ShortTasks
	found.Running += js.shortRunning.Running
	found.CPUMilli += js.shortRunning.CPUMilli
	if js.rank(p.view.Now).late {
		return
	}
	for _, w := range js.waiting {
		if st := &js.job.Spec.Steps[w.Step]; kindOf(st) == Short && p.isReady(js, w) {
			found.Waiting += w.tasks
			found.CPUMilli += int64(w.tasks) * st.Size.CPUMilli
		}
	}
}

// slotsIn returns how many short tasks fit into free processors, in thousandths of a core.
func (r *reserve) slotsIn(free int64) int {
	if r.taskCPU <= 0 {
		return 0
	}
	return int(max(0, free) / r.taskCPU)
}

// allows reports whether a task may start on a VM. A lasting task that never ran must
// leave the reserve free.
func (r *reserve) allows(cl *taskClass, t *queue.Task, v *vmState) bool {
	if !r.nearlyFull || r.taskCPU <= 0 || !cl.step.Lasting || t.LastRun > 0 {
		return true
	}
	return r.slots-r.slotsTaken(cl, v) >= r.keep
}

// slotsTaken returns how many slots a task of a class takes on a VM.
func (r *reserve) slotsTaken(cl *taskClass, v *vmState) int {
	return r.slotsIn(v.free.CPUMilli) - r.slotsIn(v.free.CPUMilli-cl.need.CPUMilli)
}
