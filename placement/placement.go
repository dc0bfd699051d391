// Package placement decides where pending tasks run and which running tasks
// move aside.
//
// A Planner goes over the pending tasks in order of urgency and asks a Placer
// for a VM for each. It returns commands; the replicated state checks each
// again when it applies them. It keeps no record between rounds but a random
// sequence, so a new leader plans as well as the old one.
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
	// maxRound bounds the tasks placed in one round.
	maxRound = 256
	// maxCandidates bounds the VMs that a Placer sees for one task; they are
	// drawn at random among those with room (Borg's relaxed randomisation).
	maxCandidates = 48
	// UrgentPriority and above may move batch work of lower priority aside.
	UrgentPriority = 7
)

// Planner plans rounds. It is not safe for concurrent use.
type Planner struct {
	placer rudderfork.Placer
	model  rudderfork.Interference
	rng    *rand.Rand
	usage  Usage
}

// Usage tells what control has learned from reports; a zero answer is allowed.
type Usage interface {
	// Pressure is how near the VM's services are to their target: 1 at it.
	Pressure(vm rudderfork.VMID) float64
	// TakeExhausted reports, once for each report, that throttling all tasks of a
	// VM was not enough for its services.
	TakeExhausted(vm rudderfork.VMID) bool
	// Size corrects a declared size by what tasks of the kind were seen to use.
	Size(kind string, declared rudderfork.Resources) rudderfork.Resources
	// UnsavedWork is the work, in units, that stopping a task would lose.
	UnsavedWork(t rudderfork.TaskID) int64
}

// NewPlanner returns a planner.
func NewPlanner(p rudderfork.Placer, model rudderfork.Interference, u Usage, seed uint64) *Planner {
	return &Planner{placer: p, model: model, usage: u, rng: rand.New(rand.NewPCG(seed, 2))}
}

// Plan is what one round decided.
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
	s       *state.State
	now     time.Time
	vms     []*view
	byVM    map[rudderfork.VMID]*view
	rooms   []rudderfork.Resources // of every VM if it were idle
	most    rudderfork.Resources   // the greatest of rooms, part by part
	plan    Plan
	teams   map[rudderfork.Team]rudderfork.Resources // placed in this round
	jobs    map[rudderfork.JobID]int
	skipped map[rudderfork.JobID]bool
}

// view is a VM with what this round has put on it.
type view struct {
	rudderfork.VMView
	vm    *state.VM
	tasks int
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
		room := v.Capacity.Sub(v.Reserved)
		r.rooms = append(r.rooms, room)
		r.most = r.most.Max(room)
	}
	p.checkJobs(r)
	for _, t := range p.order(s) {
		if len(r.plan.Place.Placements) >= maxRound {
			break
		}
		if !r.skipped[t.Job] {
			p.placeTask(r, t)
		}
	}
	p.drains(r)
	p.relieve(r)
	return r.plan
}

// views returns the VMs that may take tasks.
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

// order returns pending tasks: by priority, then by the nearest deadline, then
// by the share that the team holds for its weight, then by age.
func (p *Planner) order(s *state.State) []*state.Task {
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
	size := p.size(r, j)
	if !r.shareAllows(t, j, size) {
		r.skipped[t.Job] = true
		return
	}
	tv := rudderfork.TaskView{
		ID: t.ID, Job: t.Job, Team: j.Spec.Team, Kind: j.Spec.Kind, Size: size, Avoid: t.Avoid,
		Priority: r.s.JobCell(t.Job, rudderfork.ColPriority), Weight: r.s.JobCell(t.Job, rudderfork.ColWeight),
	}
	c, ok := p.placer.Place(tv, p.candidates(r, tv), r.now)
	if !ok {
		// Tasks of a job are alike; the rest of it waits too, and blocks nobody.
		r.skipped[t.Job] = true
		if tv.Priority >= UrgentPriority {
			p.makeRoom(r, tv)
		}
		return
	}
	r.take(t, j, size, c)
}

// size is the declared size of a job's tasks, corrected by what was seen. The
// correction never makes a job impossible that could run as declared.
func (p *Planner) size(r *round, j *state.Job) rudderfork.Resources {
	declared := r.s.JobSize(j.Spec.ID)
	size := p.usage.Size(j.Spec.Kind, declared)
	return size.Min(r.most).Min(r.s.Quota(j.Spec.Team)).Max(declared.Min(size))
}

// shareAllows checks team and job limits, with what this round placed.
func (r *round) shareAllows(t *state.Task, j *state.Job, size rudderfork.Resources) bool {
	team := j.Spec.Team
	total := r.s.Usage(team).Add(r.teams[team]).Add(size)
	if !total.Fits(r.s.Quota(team)) {
		return false
	}
	return int64(j.Running+r.jobs[t.Job]) < r.s.JobCell(t.Job, rudderfork.ColMaxRunning)
}

// candidates draws VMs with room for t.
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
		if v.vm.OnProbation() && v.tasks > 0 || !t.Size.Fits(v.Free) || p.crowded(t, v, r.now) {
			continue
		}
		out = append(out, v.VMView)
		if len(out) == maxCandidates {
			break
		}
	}
	return out
}

// growLimit is the pressure past which a task must not bring a VM, as far as its
// kind is known (Heracles, ISCA 2015, has no growth under 10% slack, whatever
// would grow). A job's weight moves it, between growLeast and growMost.
const (
	growLimit = 0.9
	growLeast = 0.5
	growMost  = 1.2
	// normalWeight is the default of the weight column.
	normalWeight = 100
)

// crowded reports whether t would bring the services of v too near their targets.
func (p *Planner) crowded(t rudderfork.TaskView, v *view, now time.Time) bool {
	if len(v.Services) == 0 || t.Priority >= UrgentPriority {
		return false
	}
	expected := v.Pressure
	for _, s := range v.Services {
		factor, _ := p.model.Slowdown(s, t.Kind, now)
		expected = max(expected, v.Pressure*factor)
	}
	limit := growLimit * float64(t.Weight) / normalWeight
	return expected > min(max(limit, growLeast), growMost)
}

func (r *round) take(t *state.Task, j *state.Job, size rudderfork.Resources, c rudderfork.Choice) {
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

// checkJobs tells jobs that can never run why, and takes that back when they
// can.
func (p *Planner) checkJobs(r *round) {
	seen := map[rudderfork.JobID]bool{}
	for _, t := range r.s.Pending() {
		if seen[t.Job] {
			continue
		}
		seen[t.Job] = true
		reason := r.impossible(t.Job)
		if reason != "" {
			r.skipped[t.Job] = true
		}
		if r.s.Job(t.Job).Blocked != reason {
			r.plan.Place.Blocked = append(r.plan.Place.Blocked, state.Block{Job: t.Job, Reason: reason})
		}
	}
	slices.SortFunc(r.plan.Place.Blocked, func(a, b state.Block) int { return cmp.Compare(a.Job, b.Job) })
}

// impossible says why no VM could run the job even if it were idle, or "".
func (r *round) impossible(id rudderfork.JobID) string {
	s := r.s
	j := s.Job(id)
	size := s.JobSize(id)
	if part := size.Lacking(s.Quota(j.Spec.Team)); part != "" {
		return fmt.Sprintf("one task needs %s; the quota of team %s allows %s", size, j.Spec.Team, s.Quota(j.Spec.Team))
	}
	if len(r.rooms) == 0 {
		return ""
	}
	var largest rudderfork.Resources
	for _, room := range r.rooms {
		if size.Fits(room) {
			return ""
		}
		if room.CPUMilli > largest.CPUMilli {
			largest = room
		}
	}
	return fmt.Sprintf("one task needs %s; the largest VM offers %s", size, largest)
}

// relieve moves one task away from each VM where throttling was not enough: the
// one whose stop loses least work for its weight.
func (p *Planner) relieve(r *round) {
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

// drains moves tasks away from VMs that are leaving.
func (p *Planner) drains(r *round) {
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
