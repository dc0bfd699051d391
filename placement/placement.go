// Package placement decides on which VMs pending tasks run and which running
// tasks are evicted.
//
// A Planner goes over the pending tasks in order of priority and asks a Placer
// for a VM for each. It returns commands, which the replicated state checks
// again when it applies them. Between rounds it keeps nothing but the state of
// its random numbers, so a new leader plans as well as the old one.
package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
)

const (
	// maxPlacements is the maximum number of tasks placed in one round.
	maxPlacements = 256
	// maxCandidates is the maximum number of VMs that a Placer scores for one
	// task, which bounds the cost of a round. They are the first VMs with enough free
	// capacity, counted from a random VM (relaxed randomization as in Borg).
	maxCandidates = 48
	// UrgentPriority is the lowest priority of tasks that may preempt tasks of
	// lower priority.
	UrgentPriority = 7
)

// Planner plans placements and evictions. It is not safe for concurrent use.
type Planner struct {
	placer rudderfork.Placer
	model  rudderfork.Interference
	rng    *rand.Rand
	usage  Usage
}

// Usage provides what the leader has learned from the usage reports of agents.
// Where it has no reports, Size returns the declared size, and the other methods
// return zero values.
type Usage interface {
	// Pressure returns the tail latency of the VM's services divided by their
	// target.
	Pressure(vm rudderfork.VMID) float64
	// TakeExhausted reports whether the VM's services exceed their target although
	// all of its tasks are throttled fully. It returns true at most once for each
	// report of the VM's agent.
	TakeExhausted(vm rudderfork.VMID) bool
	// Size returns the declared size, corrected by the measured use of tasks of
	// the kind.
	Size(kind string, declared rudderfork.Resources) rudderfork.Resources
	// UnsavedWork returns the units of work since the last checkpoint of a task,
	// which stopping it loses.
	UnsavedWork(t rudderfork.TaskID) int64
}

// NewPlanner returns a planner. seed seeds the choice of candidates.
func NewPlanner(p rudderfork.Placer, model rudderfork.Interference, u Usage, seed uint64) *Planner {
	return &Planner{placer: p, model: model, usage: u, rng: rand.New(rand.NewPCG(seed, 2))}
}

// Plan is the result of one round.
type Plan struct {
	Place state.Place
	Evict state.Evict
}

// Empty reports whether there is nothing to propose.
func (p Plan) Empty() bool {
	return len(p.Place.Placements) == 0 && len(p.Place.Blocked) == 0 && len(p.Evict.Evictions) == 0
}

// round is the working state of one round.
type round struct {
	s              *state.State
	now            time.Time
	vms            []*view                   // the VMs that may get tasks
	byVM           map[rudderfork.VMID]*view // vms by ID
	idleCapacities []rudderfork.Resources    // capacity for tasks of every known VM, when it runs none
	maxCapacity    rudderfork.Resources      // the maximum of idleCapacities in each dimension
	plan           Plan
	teams          map[rudderfork.Team]rudderfork.Resources // sum of the sizes of the tasks placed in this round
	jobs           map[rudderfork.JobID]int                 // number of tasks placed in this round
	skipped        map[rudderfork.JobID]bool                // jobs of which no more tasks are placed in this round
}

// view is a VM that may get tasks. Free, Tasks and tasks include the tasks placed on
// it in this round.
type view struct {
	rudderfork.VMView
	vm    *state.VM
	tasks int // number of tasks that hold capacity
}

// PlanRound plans one round on s at now.
func (p *Planner) PlanRound(s *state.State, now time.Time) Plan {
	r := &round{
		s: s, now: now,
		teams:   map[rudderfork.Team]rudderfork.Resources{},
		jobs:    map[rudderfork.JobID]int{},
		skipped: map[rudderfork.JobID]bool{},
	}
	r.vms = p.views(s, now)
	r.byVM = map[rudderfork.VMID]*view{}
	for _, v := range r.vms {
		r.byVM[v.Place.VM] = v
	}
	for _, v := range s.VMs() {
		capacity := v.Capacity.Sub(v.Reserved)
		r.idleCapacities = append(r.idleCapacities, capacity)
		r.maxCapacity = r.maxCapacity.Max(capacity)
	}
	p.updateBlockedJobs(r)
	for _, t := range p.sortPending(s) {
		if len(r.plan.Place.Placements) >= maxPlacements {
			break
		}
		if !r.skipped[t.Job] {
			p.placeTask(r, t)
		}
	}
	p.evictFromDraining(r)
	p.evictUnderPressure(r)
	return r.plan
}

// views returns the VMs that may get tasks.
func (p *Planner) views(s *state.State, now time.Time) []*view {
	var vs []*view
	for _, v := range s.VMs() {
		if !v.Live || v.Draining || v.Excluded(rudderfork.Millis(now)) {
			continue
		}
		on := s.TasksOn(v.Place.VM)
		vw := &view{vm: v, tasks: len(on)}
		vw.VMView = rudderfork.VMView{
			Place: v.Place, Capacity: v.Capacity, Free: v.FreeCapacity(), Services: v.Services,
			Tasks: map[string]int{}, Pressure: p.usage.Pressure(v.Place.VM),
		}
		for _, t := range on {
			vw.Tasks[s.Job(t.Job).Spec.Kind]++
		}
		vs = append(vs, vw)
	}
	return vs
}

// sortPending returns the pending tasks in the order in which they are placed:
// by priority, then by deadline, then by the processors that the team holds
// relative to its weight, then by the time of submission.
func (p *Planner) sortPending(s *state.State) []*state.Task {
	type key struct {
		t        *state.Task
		priority int64
		deadline int64
		share    float64
	}
	shares := map[rudderfork.Team]float64{}
	keys := make([]key, 0, len(s.Pending()))
	for _, t := range s.Pending() {
		j := s.Job(t.Job)
		team := j.Spec.Team
		if _, ok := shares[team]; !ok {
			w := s.Value(rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: string(team), Column: rudderfork.ColWeight})
			shares[team] = float64(s.Usage(team).CPUMilli) / float64(w)
		}
		d := s.JobCell(t.Job, rudderfork.ColDeadline)
		if d == 0 {
			d = 1 << 62
		}
		keys = append(keys, key{t, s.JobCell(t.Job, rudderfork.ColPriority), d, shares[team]})
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(
			cmp.Compare(b.priority, a.priority), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.share, b.share),
			cmp.Compare(s.Job(a.t.Job).SubmittedAt, s.Job(b.t.Job).SubmittedAt),
			cmp.Compare(a.t.Job, b.t.Job), cmp.Compare(a.t.Index, b.t.Index))
	})
	ts := make([]*state.Task, len(keys))
	for i, k := range keys {
		ts[i] = k.t
	}
	return ts
}

func (p *Planner) placeTask(r *round, t *state.Task) {
	j := r.s.Job(t.Job)
	size := p.taskSize(r, j)
	if !r.withinLimits(t, j, size) {
		r.skipped[t.Job] = true
		return
	}
	tv := rudderfork.TaskView{
		ID: t.ID, Job: t.Job, Team: j.Spec.Team, Kind: j.Spec.Kind, Size: size, Avoid: t.Avoid,
		Priority: r.s.JobCell(t.Job, rudderfork.ColPriority), Weight: r.s.JobCell(t.Job, rudderfork.ColWeight),
	}
	c, ok := p.placer.Place(tv, p.candidates(r, tv), r.now)
	if !ok {
		// All tasks of a job have the same size, so the others are not tried either.
		r.skipped[t.Job] = true
		if tv.Priority >= UrgentPriority {
			p.preempt(r, tv)
		}
		return
	}
	r.assign(t, j, size, c)
}

// taskSize returns the declared size of a job's tasks, corrected by their measured
// use. The correction never exceeds the largest VM or the team's quota, since a
// job that can run as declared must not become unschedulable.
func (p *Planner) taskSize(r *round, j *state.Job) rudderfork.Resources {
	declared := r.s.JobSize(j.Spec.ID)
	size := p.usage.Size(j.Spec.Kind, declared)
	return size.Min(r.maxCapacity).Min(r.s.Quota(j.Spec.Team)).Max(declared.Min(size))
}

// withinLimits reports whether the limits of team and job allow another task,
// counting those placed in this round.
func (r *round) withinLimits(t *state.Task, j *state.Job, size rudderfork.Resources) bool {
	team := j.Spec.Team
	total := r.s.Usage(team).Add(r.teams[team]).Add(size)
	if !total.Fits(r.s.Quota(team)) {
		return false
	}
	return int64(j.Running+r.jobs[t.Job]) < r.s.JobCell(t.Job, rudderfork.ColMaxRunning)
}

// candidates returns up to maxCandidates VMs that may run t. If there are more VMs
// than that, it starts at a random one.
func (p *Planner) candidates(r *round, t rudderfork.TaskView) []rudderfork.VMView {
	var out []rudderfork.VMView
	if len(r.vms) == 0 {
		return nil
	}
	start := 0
	if len(r.vms) > maxCandidates {
		start = p.rng.IntN(len(r.vms))
	}
	for i := range r.vms {
		v := r.vms[(start+i)%len(r.vms)]
		if v.vm.OnProbation() && v.tasks > 0 || !t.Size.Fits(v.Free) || p.exceedsPressureLimit(t, v, r.now) {
			continue
		}
		out = append(out, v.VMView)
		if len(out) == maxCandidates {
			break
		}
	}
	return out
}

// pressureLimit is the expected pressure above which a VM gets no further task of
// a job with the default weight. (Heracles, ISCA 2015, lets batch work grow only
// while the latency is 10% below its target, whatever the kind of work; here the
// slowdown that is expected of the kind is added.) The limit is proportional to the
// job's weight, between minPressureLimit and maxPressureLimit.
const (
	pressureLimit    = 0.9
	minPressureLimit = 0.5
	maxPressureLimit = 1.2
	// normalWeight is the default of the weight column.
	normalWeight = 100
)

// exceedsPressureLimit reports whether t on v is expected to raise the pressure
// of a service there above the limit for t. Urgent tasks have no limit.
func (p *Planner) exceedsPressureLimit(t rudderfork.TaskView, v *view, now time.Time) bool {
	if len(v.Services) == 0 || t.Priority >= UrgentPriority {
		return false
	}
	expected := v.Pressure
	for _, s := range v.Services {
		factor, _ := p.model.Slowdown(s, t.Kind, now)
		expected = max(expected, v.Pressure*factor)
	}
	limit := pressureLimit * float64(t.Weight) / normalWeight
	return expected > min(max(limit, minPressureLimit), maxPressureLimit)
}

func (r *round) assign(t *state.Task, j *state.Job, size rudderfork.Resources, c rudderfork.Choice) {
	v := r.byVM[c.VM]
	v.Free = v.Free.Sub(size)
	v.Tasks[j.Spec.Kind]++
	v.tasks++
	r.teams[j.Spec.Team] = r.teams[j.Spec.Team].Add(size)
	r.jobs[t.Job]++
	r.plan.Place.Placements = append(r.plan.Place.Placements, state.Placement{
		Task: t.ID, VM: c.VM, Epoch: v.vm.Epoch, Token: t.Token, Size: size,
		Reason: c.Reason, Rejections: c.Rejections,
	})
}

// updateBlockedJobs plans the changes of Job.Blocked: it sets the reason for jobs that
// no VM can run, and clears it when one can.
func (p *Planner) updateBlockedJobs(r *round) {
	seen := map[rudderfork.JobID]bool{}
	for _, t := range r.s.Pending() {
		if seen[t.Job] {
			continue
		}
		seen[t.Job] = true
		reason := r.unschedulableReason(t.Job)
		if reason != "" {
			r.skipped[t.Job] = true
		}
		if r.s.Job(t.Job).Blocked != reason {
			r.plan.Place.Blocked = append(r.plan.Place.Blocked, state.Block{Job: t.Job, Reason: reason})
		}
	}
	slices.SortFunc(r.plan.Place.Blocked, func(a, b state.Block) int { return cmp.Compare(a.Job, b.Job) })
}

// unschedulableReason returns why no VM could run the job even without other
// tasks, or "" if one could.
func (r *round) unschedulableReason(id rudderfork.JobID) string {
	s := r.s
	j := s.Job(id)
	size := s.JobSize(id)
	if part := size.Lacking(s.Quota(j.Spec.Team)); part != "" {
		return fmt.Sprintf("one task needs %s; the quota of team %s allows %s", size, j.Spec.Team, s.Quota(j.Spec.Team))
	}
	if len(r.idleCapacities) == 0 {
		return ""
	}
	var largest rudderfork.Resources
	for _, capacity := range r.idleCapacities {
		if size.Fits(capacity) {
			return ""
		}
		if capacity.CPUMilli > largest.CPUMilli {
			largest = capacity
		}
	}
	return fmt.Sprintf("one task needs %s; the largest VM offers %s", size, largest)
}

// evictUnderPressure evicts one task from each VM where throttling was not enough:
// the one for which the product of unsaved work and weight is least.
func (p *Planner) evictUnderPressure(r *round) {
	for _, v := range r.vms {
		if len(v.Services) == 0 || !p.usage.TakeExhausted(v.Place.VM) {
			continue
		}
		var best *state.Task
		least := 0.0
		for _, t := range r.s.TasksOn(v.Place.VM) {
			cost := float64(1+p.usage.UnsavedWork(t.ID)) * float64(r.s.JobCell(t.Job, rudderfork.ColWeight))
			if t.Phase == rudderfork.TaskRunning && !r.evicted(t.ID) && (best == nil || cost < least || cost == least && t.ID < best.ID) {
				best, least = t, cost
			}
		}
		if best != nil {
			r.evict(best, fmt.Sprintf("throttling all tasks of VM %s was not enough, its services are at %.0f%% of their targets; stopping this one loses least for its weight, %d units",
				v.Place.VM, 100*v.Pressure, p.usage.UnsavedWork(best.ID)))
		}
	}
}

// evictFromDraining evicts all tasks from VMs that are draining.
func (p *Planner) evictFromDraining(r *round) {
	for _, v := range r.s.VMs() {
		if !v.Live || !v.Draining {
			continue
		}
		for _, t := range r.s.TasksOn(v.Place.VM) {
			if t.Phase == rudderfork.TaskRunning {
				r.evict(t, "VM "+string(v.Place.VM)+" is leaving")
			}
		}
	}
	slices.SortFunc(r.plan.Evict.Evictions, func(a, b state.Eviction) int { return cmp.Compare(a.Task, b.Task) })
}

func (r *round) evict(t *state.Task, reason string) {
	r.plan.Evict.Evictions = append(r.plan.Evict.Evictions, state.Eviction{Task: t.ID, Token: t.Token, Reason: reason})
}
