// Package dispatch decides what the leader does with the queues: which tasks
// start now, on which VMs, and which runs are stopped.
//
// It reads the replicated state and what is known of the VMs at the moment, and
// returns a Plan. It changes nothing and does no I/O: starts take effect once
// they are committed, where package queue checks them again.
//
// Order: jobs go by their queue's priority, then those that can be in time before
// the others, then by the work that is left of them; those past all hope of their
// objective go last (rank.go). Room: lasting tasks that begin leave some for short
// ones (reserve.go). Place: of the VMs that can take a task, the one with the
// least cost (cost.go).
//
// Work: a Planner keeps what it has read of each VM (vmNote) and job (jobNote) and
// reads again only what has changed since. The tasks of a step are weighed against
// the VMs together (candidates), and a step that needs no less than one that found
// no place in the same plan is not weighed at all (shortage).
package dispatch

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

// VMView is what the leader knows of a VM at the moment.
type VMView struct {
	Usable       bool    // in session, with a lease and an executor that answers
	Draining     bool    // about to leave
	Cordoned     bool    // gets no new work, since its upkeep is next
	FailureScore float64 // 0 for a sound VM; rises with failures and stand-stills

	// Changes rises with each change of what is known of the VM's runs; 0 means
	// that nobody counts, and that they are read for each plan.
	Changes uint64
}

// RunView is what the leader knows of a run at the moment.
type RunView struct {
	Percent          int
	FirstPercent     int   // percent when it was first reported
	FirstSeenAt      int64 // when that was, leader's clock, Unix ms
	ProgressedAt     int64 // when Percent last changed, leader's clock, Unix ms
	Load             int64 // tail of a serving task in ms, else thousandths of a core
	PacedDownPercent int   // percent by which it is paced down
	PacedDownSince   int64 // since when it is held down by more than a little, or 0

	// ForecastHeadroomChange is by how much a serving task's own load will have changed its headroom where
	// it is least, while a filler that begins now works; 0 if that is not known.
	ForecastHeadroomChange float64
}

// View is the leader's knowledge that is not replicated.
type View struct {
	Now  int64 // leader's clock, Unix ms
	VMs  map[rudderfork.VMID]VMView
	Runs map[queue.RunKey]RunView
	// FailedOn names the VMs on which a task has failed.
	FailedOn map[queue.TaskKey][]rudderfork.VMID
	// BackOffUntil holds tasks back until a time, after a refusal.
	BackOffUntil map[queue.TaskKey]int64
	// Tickets holds, for steps of queues with an adviser, the VMs that may run
	// them, with the adviser's tickets.
	Tickets map[queue.StepKey]map[rudderfork.VMID]string
	// NoTicketAt holds, for these steps, when the adviser was last asked in vain about VMs.
	NoTicketAt map[queue.StepKey]map[rudderfork.VMID]time.Time
	// Pressure is what fillers of one image take from the headroom of serving
	// tasks of another, as package interference gives it.
	Pressure pace.PressureFunc
	// Relocate asks for a look at which serving task had better run elsewhere.
	Relocate bool
	// LastRelocation is the serving task that was moved last to make room for fillers.
	LastRelocation Relocation
	// ShortDemand is what was seen of short tasks, for which room is kept.
	ShortDemand ShortDemand
	// WorkTime expects how long tasks work; nil believes the submitters' guesses. What is
	// read of jobs by it is read again when WorktimesAt changes.
	WorkTime        WorkTimeFunc
	WorkTimeVersion uint64
	// Summarize asks for an account of the fleet.
	Summarize bool
}

// Stop asks for the end of a run.
type Stop struct {
	Task   queue.TaskKey
	Run    uint32
	VM     rudderfork.VMID
	Reason string
}

// Kind tells tasks apart by what they need.
type Kind string

// The kinds of tasks.
const (
	Lasting Kind = "lasting" // lasts until its job is cancelled
	Filler  Kind = "filler"  // takes what is idle
	Short   Kind = "short"   // all others
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

// Start is a start with the reason for its place.
type Start struct {
	queue.Start
	Kind   Kind
	Reason string
	// WaitedMS is how long the task has waited since its turn came, where this is its
	// first start; -1 elsewhere.
	WaitedMS int64
}

// Plan is what to do now.
type Plan struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	LastOfStep     map[rudderfork.VMID][]queue.RunKey // runs of fillers that the rest of their step waits for
	ShortTasks     ShortTasks                         // that were found
	Summary        *FleetSummary                      // if the view asks for one, else nil
}

// AdviceRequest wants an adviser's leave for a step on some VMs.
type AdviceRequest struct {
	Step queue.StepKey
	VMs  []rudderfork.VMID
}

// Planner makes one plan after the other. It is not safe for concurrent use.
type Planner struct {
	state    *queue.State
	document *queue.Document // under which the jobs were read
	images   images
	vms      map[rudderfork.VMID]*vmState
	jobs     map[rudderfork.JobID]*jobState
	order    []*jobState // all of jobs, as the last plan ranked them
}

// NewPlanner returns a planner that has read nothing yet.
func NewPlanner() *Planner {
	pl := &Planner{}
	pl.reset()
	return pl
}

// PlanOnce returns what to do now, by a planner that has read nothing before.
func PlanOnce(s *queue.State, v View) Plan { return NewPlanner().Plan(s, v) }

// Plan returns what to do now.
func (pl *Planner) Plan(s *queue.State, v View) Plan {
	p := pl.newPass(s, v)
	jobs := p.ranked()
	for _, j := range jobs {
		p.planStops(j)
	}
	p.planRelocation(jobs)
	for _, j := range jobs {
		p.planStarts(j)
	}
	for _, j := range jobs {
		p.planCopies(j)
	}
	p.plan.LastOfStep = p.lastOfSteps(jobs)
	if v.Summarize {
		p.plan.Summary = p.summarize()
	}
	return p.plan
}

// newPass reads what has changed since the plan before.
func (pl *Planner) newPass(s *queue.State, v View) *pass {
	if pl.state != s || pl.images.tooMany() {
		pl.reset()
		pl.state = s
	}
	p := &pass{
		state: s, view: v, images: &pl.images, placed: map[stepOnVM]int{},
		started: map[rudderfork.JobID]int{}, rates: map[queue.StepKey][]siblingRate{},
	}
	p.vms, p.at = pl.readVMs(p)
	p.jobs = pl.readJobs(p)
	p.costs = make([]float64, len(p.vms))
	p.reserveRoom()
	return p
}

func (pl *Planner) reset() {
	pl.images = newImages()
	pl.vms = map[rudderfork.VMID]*vmState{}
	pl.jobs = map[rudderfork.JobID]*jobState{}
	pl.document, pl.order = nil, nil
}

// pass makes one plan.
type pass struct {
	state  *queue.State
	view   View
	images *images
	vms    []*vmState              // in the order of their names
	at     map[rudderfork.VMID]int // index in vms
	jobs   []*jobState
	plan   Plan

	placed       map[stepOnVM]int // by the starts of this plan
	started      map[rudderfork.JobID]int
	gangs        int
	fillerMoves  int
	quarantines  int // VMs in quarantine
	unmet        unmetList
	reserve      reserve
	costs        []float64 // by VM, of the step that is weighed
	rates        map[queue.StepKey][]siblingRate
	demandShares []float64 // by image of fillers; nil until asked for
	pressures    [][]float64
}

// stepOnVM names the tasks of a step, of one time, on a VM.
type stepOnVM struct {
	queue.StepKey
	vm rudderfork.VMID
}

// vmOf returns what is read of a VM, or nil.
func (p *pass) vmByID(id rudderfork.VMID) *vmState {
	if i, ok := p.at[id]; ok {
		return p.vms[i]
	}
	return nil
}

// starts plans the tasks of a job whose turn has come.
func (p *pass) planStarts(n *jobState) {
	for _, w := range n.waiting {
		if !p.isReady(n, w) {
			continue
		}
		cl := p.classOf(n, w.StepKey)
		cl.readyAt = w.readyAt
		if cl.step.Gang {
			p.startGang(cl)
			continue
		}
		p.startStep(cl)
	}
}

// hasTurn reports whether the tasks of a step may start now.
func (p *pass) isReady(n *jobState, w waitingStep) bool {
	return w.dependenciesDone && n.job.Occurrences[w.Occurrence].DueMS <= p.view.Now
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
		v, reason, held := p.chooseVMFor(&c, k)
		if held {
			continue
		}
		if v == nil {
			p.requestAdvice(cl, k)
			return // the others of the step are alike
		}
		if p.tooSlowToStart(cl, v) {
			p.recordSlowEverywhere(cl)
			return
		}
		if !p.reserve.allows(cl, &cl.tasks[index], v) {
			continue // others of the step may have run before
		}
		p.addStart(cl, k, v, reason, 0)
		p.updateCost(&c, v)
	}
}

// wants reports whether a task lacks a run and is not held back.
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

// waited is how long a task that was never started has waited, in ms, else -1.
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

// racks returns the racks to try for a gang; "" stands for all together.
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

// gangOn plans a gang on the VMs of one rack; on failure the plan is as before.
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

// drop takes back the starts from mark on.
func (p *pass) rollBack(cl *taskClass, mark int) {
	for _, st := range p.plan.Starts[mark:] {
		v := p.vmByID(st.VM)
		p.reserve.slots += p.reserve.slotsIn(v.free.CPUMilli+cl.need.CPUMilli) - p.reserve.slotsIn(v.free.CPUMilli)
		v.free = v.free.Add(cl.need)
		v.utilization = v.maxShare()
		v.colocation = v.colocationWithout(queue.TaskKey{}) // and without the plan's other starts: an estimate
		v.colocation.updateSlack(p)
		p.placed[stepOnVM{cl.key, st.VM}]--
		p.started[cl.job.ID]--
	}
	p.plan.Starts = p.plan.Starts[:mark]
	p.unmet = nil // there is more room again
}
