// Package dispatch plans the leader's actions on the queues: which tasks start now
// and on which VMs, which runs are stopped, and for which VMs advisers are asked for
// tickets.
//
// A plan is computed from the replicated state and the leader's unreplicated view of
// the VMs. Planning changes nothing and does no I/O. The starts of a plan take effect
// when they are committed; package queue validates them again at that point.
//
// Jobs are ordered by the priority of their queue, then jobs that can still meet their
// objective before late ones, then by least remaining work; groups of callers that are ahead of
// their share or starved of it change that order (shares.go). Jobs too late to be worth
// anything to their owners go last (rank.go). New lasting tasks leave a reserve of free
// processors for short tasks (reserve.go). A task starts on the feasible VM with the
// lowest cost (cost.go).
//
// Headroom and pressure have the meanings of package pace: the headroom of a serving task
// is its tail latency objective over its tail latency, and the pressure of a pair of images
// is the headroom that serving tasks of the one lose to fillers of the other. The pressure
// of package usage is another figure, of a VM.
//
// A Planner caches what it has read of each VM (vmState) and job (jobState) and reads
// again only what has changed. All tasks of a step share one list of candidate VMs
// (candidates). A step is skipped if it needs at least as much as a step that already
// found no VM in the same plan (unmetList).
package dispatch

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

// VMView is the leader's current, unreplicated view of a VM.
type VMView struct {
	Usable   bool // has a session, a lease and an executor that answers polls
	Draining bool // its executor has announced its shutdown

	// CordonedForUpkeep means that the VM gets no new tasks because its upkeep is next.
	// VMs cordoned for an evacuation are not marked here; see queue.State.Evacuating.
	CordonedForUpkeep bool

	FailureScore float64 // 0 for a healthy VM; rises with failures of the VM and its runs, and decays

	// Speed is how fast tasks work on the VM, relative to the usual speed. 0 stands for the
	// usual speed.
	Speed float64

	// Changes is incremented whenever the view of one of the VM's runs changes. 0 means that
	// changes are not counted, so that each plan reads the runs again.
	Changes uint64
}

// RunView is the leader's current, unreplicated view of a run.
type RunView struct {
	Percent          int   // progress of the work, or of the startup of a lasting task, 0 to 100
	FirstPercent     int   // Percent in the first report
	FirstSeenAt      int64 // time of the first report, leader's clock, Unix ms
	ProgressedAt     int64 // when Percent last changed, leader's clock, Unix ms
	Load             int64 // tail latency of a serving task, ms; CPU use of others, thousandths of a core
	PacedDownPercent int   // percent by which pacing reduces its speed; 0 is full speed
	PacedDownSince   int64 // since when it has been paced down by enough to consider a move, Unix ms; 0 if it is not

	// ForecastHeadroomChange is the lowest headroom that a serving task is expected to
	// have while a filler that starts now works, less its present headroom. It takes only
	// the task's own load into account, and is 0 without a forecast.
	ForecastHeadroomChange float64
}

// View is the leader's unreplicated input of a plan.
type View struct {
	Now  int64 // leader's clock, Unix ms
	VMs  map[rudderfork.VMID]VMView
	Runs map[queue.RunKey]RunView
	// FailedOn lists, by task, the VMs to avoid because a run of the task there has failed,
	// was refused, or was stopped for ReasonStalled, ReasonSlow or ReasonTooSlow.
	FailedOn map[queue.TaskKey][]rudderfork.VMID
	// BackOffUntil is the time, Unix ms, before which a task is not started again since a VM
	// has refused to start it.
	BackOffUntil map[queue.TaskKey]int64
	// Tickets holds, for each step, the adviser's tickets by the VMs that may run it. Only
	// steps of queues with an adviser need tickets.
	Tickets map[queue.StepKey]map[rudderfork.VMID]string
	// NoTicketAt is when the adviser last gave no ticket for a step on a VM, by step and VM.
	NoTicketAt map[queue.StepKey]map[rudderfork.VMID]time.Time
	// Pressure estimates by how much fillers of one image that use all processors of a VM
	// reduce the headroom of serving tasks of another.
	Pressure pace.PressureFunc
	// Relocate permits the plan to move a serving task so that fillers gain capacity.
	Relocate bool
	// LastRelocation is the last such move that was ordered.
	LastRelocation Relocation
	// OverloadedSince holds, by run of a serving task, since when it has had a headroom below 1
	// although no filler beside it works, Unix ms. It is empty if that is not observed.
	OverloadedSince map[queue.RunKey]int64
	// SlowRelocations are the relocations of serving tasks from slow VMs that are in progress or
	// whose run is still active.
	SlowRelocations []Relocation
	// ShortDemand is the recent demand of short tasks, for which the plan keeps a reserve.
	ShortDemand ShortDemand
	// WorkTime estimates how long tasks work; if nil, the submitters' estimates are used.
	// Cached estimates are computed again when WorkTimeVersion changes.
	WorkTime        WorkTimeFunc
	WorkTimeVersion uint64
	// Shares are the standings of groups of callers. If nil, jobs are ordered without regard to
	// where they came from.
	Shares fairshare.Standings
	// Summarize asks for Plan.Summary.
	Summarize bool
	// SummarizeBacklog asks for Plan.Backlog.
	SummarizeBacklog bool
}

// Stop orders the end of a run.
type Stop struct {
	Task   queue.TaskKey
	Run    uint32
	VM     rudderfork.VMID
	Reason string
}

// Kind tells how a task uses processors.
type Kind string

// The kinds of tasks.
const (
	Lasting Kind = "lasting" // reserves processors until its job is cancelled, as most serving tasks do
	Filler  Kind = "filler"  // uses processors that others leave idle, and is paced to protect serving tasks
	Short   Kind = "short"   // any other task: reserves processors until it is done
)

func kindOf(st *queue.Step) Kind {
	switch {
	case st.Filler:
		return Filler
	case st.Lasting:
		return Lasting
	}
	return Short
}

// Start is a planned start with the reason for the choice of the VM.
type Start struct {
	queue.Start
	Kind   Kind
	Reason string
	// WaitedMS is how long the task has been ready, in ms, if this is its first start;
	// otherwise -1.
	WaitedMS int64
}

// Plan lists the actions to take now.
type Plan struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	LastOfStep     map[rudderfork.VMID][]queue.RunKey // by VM, the runs of fillers that are among the last of their step
	ShortTasks     ShortTasks                         // found while planning
	Demands        []fairshare.Demand                 // of the groups of callers; nil without View.Shares
	Summary        *FleetSummary                      // nil unless View.Summarize is set
	Backlog        *backlog.Summary                   // nil unless View.SummarizeBacklog is set
}

// AdviceRequest asks an adviser for tickets for a step on some VMs.
type AdviceRequest struct {
	Step queue.StepKey
	VMs  []rudderfork.VMID
}

// Planner makes successive plans and caches what it has read of the state and the view. It
// is not safe for concurrent use.
type Planner struct {
	state    *queue.State
	document *queue.Document // the document under which the jobs were read
	images   images
	groups   groups
	vms      map[rudderfork.VMID]*vmState
	jobs     map[rudderfork.JobID]*jobState
	order    []*jobState // all of jobs, in the order of the last plan
	shapes   shapesCache
}

// NewPlanner returns a planner with an empty cache.
func NewPlanner() *Planner {
	pl := &Planner{}
	pl.reset()
	return pl
}

// PlanOnce returns a plan made by a new planner.
func PlanOnce(s *queue.State, v View) Plan { return NewPlanner().Plan(s, v) }

// Plan returns the actions to take now.
func (pl *Planner) Plan(s *queue.State, v View) Plan {
	p := pl.newPass(s, v)
	jobs := p.ranked()
	for _, j := range jobs {
		p.planStops(j)
	}
	p.planRelocation(jobs)
	p.planSlowRelocations(jobs)
	for _, j := range jobs {
		p.planStarts(j)
	}
	for _, j := range jobs {
		p.planCopies(j)
	}
	p.plan.LastOfStep = p.lastOfSteps(jobs)
	p.plan.Demands = pl.demands(p)
	if v.Summarize {
		p.plan.Summary = p.summarize()
	}
	if v.SummarizeBacklog {
		p.plan.Backlog = p.summarizeBacklog(pl.shapes.of(s.VMs()))
	}
	return p.plan
}

// newPass reads what has changed since the previous plan.
func (pl *Planner) newPass(s *queue.State, v View) *pass {
	if pl.state != s || pl.images.tooMany() || pl.groups.enabled() != (v.Shares != nil) {
		pl.reset()
		pl.state = s
	}
	p := &pass{
		state: s, view: v, images: &pl.images, groups: &pl.groups, placed: map[stepOnVM]int{},
		started: map[rudderfork.JobID]int{}, rates: map[queue.StepKey][]siblingRate{},
	}
	p.groups.update(v.Shares)
	p.vms, p.vmIndex = pl.readVMs(p)
	p.jobs = pl.readJobs(p)
	p.costs = make([]float64, len(p.vms))
	p.computeReserve()
	return p
}

func (pl *Planner) reset() {
	pl.images = newImages()
	pl.groups = groups{}
	pl.vms = map[rudderfork.VMID]*vmState{}
	pl.jobs = map[rudderfork.JobID]*jobState{}
	pl.document, pl.order = nil, nil
}

// pass is the computation of one plan.
type pass struct {
	state   *queue.State
	view    View
	images  *images
	groups  *groups
	vms     []*vmState              // sorted by ID
	vmIndex map[rudderfork.VMID]int // index in vms, by ID
	jobs    []*jobState
	plan    Plan

	placed       map[stepOnVM]int         // number of starts in the plan, by step and VM
	started      map[rudderfork.JobID]int // number of starts in the plan, by job
	gangs        int                      // number of attempts to start a gang; the last one is the next value of queue.Start.Group
	fillerMoves  int                      // number of fillers moved by the plan
	searches     int                      // number of searches for a VM for a run on a slow VM
	quarantines  int                      // number of VMs in quarantine
	unmet        unmetList
	reserve      reserve
	costs        []float64                       // by VM, for the step being planned
	rates        map[queue.StepKey][]siblingRate // cached stepRates
	demandShares []float64                       // cached fillerDemand; nil until computed
	pressures    [][]float64                     // cached pressure, by image of the serving task and of the filler
}

// stepOnVM identifies the tasks of one occurrence of a step on a VM.
type stepOnVM struct {
	queue.StepKey
	vm rudderfork.VMID
}

// vmByID returns the state of a VM, or nil if it is unknown.
func (p *pass) vmByID(id rudderfork.VMID) *vmState {
	if i, ok := p.vmIndex[id]; ok {
		return p.vms[i]
	}
	return nil
}

// planStarts plans starts for the ready steps of a job.
func (p *pass) planStarts(js *jobState) {
	for _, w := range js.waiting {
		if !p.isReady(js, w) {
			continue
		}
		cl := p.classOf(js, w.StepKey)
		cl.readyAt = w.readyAt
		if cl.step.Gang {
			p.startGang(cl)
			continue
		}
		p.startStep(cl)
	}
}

// isReady reports whether the tasks of a step may start now.
func (p *pass) isReady(js *jobState, w waitingStep) bool {
	return w.dependenciesDone && js.job.Occurrences[w.Occurrence].DueMS <= p.view.Now
}

func (p *pass) startStep(cl *taskClass) {
	c := candidates{}
	for index := range cl.tasks {
		k := cl.task(index)
		if !p.needsStart(&cl.tasks[index], k) {
			continue
		}
		if c.costs == nil {
			if p.cannotStart(cl) {
				return
			}
			c = p.findCandidates(cl, "")
		}
		v, reason, wait := p.chooseVMOrWait(&c, k)
		if wait {
			continue
		}
		if v == nil {
			p.requestAdvice(cl, k)
			return // the step's other tasks have the same needs
		}
		if p.tooSlowToStart(cl, v) {
			p.recordSlowEverywhere(cl)
			return
		}
		if !p.reserve.allows(cl, &cl.tasks[index], v) {
			continue // other tasks of the step may have run before and need not leave the reserve
		}
		p.addStart(cl, k, v, reason, 0)
		p.updateCost(&c, v)
	}
}

// needsStart reports whether a task has no run and is not in back-off.
func (p *pass) needsStart(t *queue.Task, k queue.TaskKey) bool {
	return lacksRun(t) && p.view.BackOffUntil[k] <= p.view.Now
}

func (p *pass) addStart(cl *taskClass, k queue.TaskKey, v *vmState, reason string, group int) {
	p.plan.Starts = append(p.plan.Starts, Start{queue.Start{
		Task: k, VM: v.vm.ID, Incarnation: v.vm.Incarnation, Group: group, Ticket: cl.tickets[v.vm.ID],
	}, kindOf(cl.step), reason, p.waitedMS(cl, k)})
	p.reserve.slots -= p.reserve.slotsTaken(cl, v)
	v.addStart(p, cl)
	if cl.tasks[k.Index].Suspect() {
		p.markQuarantined(v)
	}
	p.placed[stepOnVM{cl.key, v.vm.ID}]++
	p.started[cl.job.ID]++
}

// waitedMS returns how long a task that never started has been ready, in ms, else -1.
func (p *pass) waitedMS(cl *taskClass, k queue.TaskKey) int64 {
	if cl.tasks[k.Index].LastRun > 0 || cl.readyAt == 0 {
		return -1
	}
	return max(0, p.view.Now-cl.readyAt)
}

// startGang starts all tasks of a gang, or none.
func (p *pass) startGang(cl *taskClass) {
	for i := range cl.tasks {
		if !p.needsStart(&cl.tasks[i], cl.task(i)) {
			return
		}
	}
	for _, rack := range p.racks(cl.step) {
		if p.startGangIn(cl, rack) {
			return
		}
	}
}

// racks returns the racks to try for a gang, the rack of its data first. "" stands for
// all racks together.
func (p *pass) racks(st *queue.Step) []string {
	if !st.SameRack {
		return []string{""}
	}
	var racks []string
	known := map[string]bool{}
	for _, v := range p.vms {
		if !known[v.vm.Rack] {
			known[v.vm.Rack] = true
			racks = append(racks, v.vm.Rack)
		}
	}
	for i, rack := range racks {
		if i > 0 && rack == st.DataRack {
			racks[0], racks[i] = racks[i], racks[0]
		}
	}
	return append(racks, "")
}

// startGangIn plans the start of a gang on the VMs of one rack, or of all racks if rack is
// "". If not all of its tasks fit, it restores the plan and returns false.
func (p *pass) startGangIn(cl *taskClass, rack string) bool {
	p.gangs++
	mark := len(p.plan.Starts)
	c := p.findCandidates(cl, rack)
	for i := range cl.tasks {
		k := cl.task(i)
		v, reason := p.chooseVM(&c, k)
		if v == nil {
			p.requestAdvice(cl, k)
			p.rollBack(cl, mark)
			return false
		}
		p.addStart(cl, k, v, "with its gang: "+reason, p.gangs)
		p.updateCost(&c, v)
	}
	return true
}

// rollBack removes the starts from index mark on.
func (p *pass) rollBack(cl *taskClass, mark int) {
	for _, st := range p.plan.Starts[mark:] {
		v := p.vmByID(st.VM)
		p.reserve.slots += p.reserve.slotsIn(v.free.CPUMilli+cl.need.CPUMilli) - p.reserve.slotsIn(v.free.CPUMilli)
		v.free = v.free.Add(cl.need)
		v.utilization = v.maxShare()
		v.colocation = v.colocationWithout(queue.TaskKey{}) // leaves out the plan's other starts too, so it is only an estimate
		v.colocation.updateSlack(p)
		p.placed[stepOnVM{cl.key, st.VM}]--
		p.started[cl.job.ID]--
	}
	p.plan.Starts = p.plan.Starts[:mark]
	p.unmet = nil // some VMs have more free capacity again
}
