// Package dispatch decides what the leader does with the queues: which tasks
// start now, on which VMs, and which runs are stopped.
//
// It reads the replicated state and what is known of the VMs at the moment, and
// returns a Plan. It changes nothing and does no I/O: starts take effect once
// they are committed, where package queue checks them again.
//
// Order: jobs go by their queue's priority, then those that can be in time before
// the others, then by the time at which their objective runs out; those past all
// hope of it go last. Place: of the VMs that
// can take a task, the one with the least cost (cost.go).
package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

// VMView is what the leader knows of a VM at the moment.
type VMView struct {
	Usable   bool    // in session, with a lease and an executor that answers
	Draining bool    // about to leave
	Closed   bool    // gets no new work, since its upkeep is next
	Doubt    float64 // 0 for a sound VM; rises with failures and stand-stills
}

// RunView is what the leader knows of a run at the moment.
type RunView struct {
	Percent int
	From    int   // percent when it was first reported
	SeenAt  int64 // when that was, leader's clock, Unix ms
	MovedAt int64 // when Percent last changed, leader's clock, Unix ms
	Load    int64 // tail of a serving task in ms, else thousandths of a core
	Held    int   // percent by which it is paced down
	HeldAt  int64 // since when it is held down by more than a little, or 0
}

// View is the leader's knowledge that is not replicated.
type View struct {
	Now  int64 // leader's clock, Unix ms
	VMs  map[rudderfork.VMID]VMView
	Runs map[queue.RunKey]RunView
	// Failed names the VMs on which a task has failed.
	Failed map[queue.TaskKey][]rudderfork.VMID
	// PutOff holds tasks back until a time, after a refusal.
	PutOff map[queue.TaskKey]int64
	// Tickets holds, for steps of queues with an adviser, the VMs that may run
	// them, with the adviser's tickets.
	Tickets map[queue.StepKey]map[rudderfork.VMID]string
	// Pressure is what fillers of one image take from the headroom of serving
	// tasks of another, as package interference gives it.
	Pressure pace.Pressures
	// Regroup asks for a look at which serving task had better run elsewhere.
	Regroup bool
	// Moved is the serving task that was moved last to make room for fillers.
	Moved Move
}

// Stop asks for the end of a run.
type Stop struct {
	Task   queue.TaskKey
	Run    uint32
	VM     rudderfork.VMID
	Reason string
}

// Start is a start with the reason for its place.
type Start struct {
	queue.Start
	Reason string
}

// Plan is what to do now.
type Plan struct {
	Starts []Start
	Stops  []Stop
	Asks   []Ask
}

// Ask wants an adviser's leave for a step on some VMs.
type Ask struct {
	Step queue.StepKey
	VMs  []rudderfork.VMID
}

// Make returns what to do now.
func Make(s *queue.State, v View) Plan {
	p := newPlanner(s, v)
	jobs := p.ranked()
	for _, j := range jobs {
		p.stops(j)
	}
	p.regroup(jobs)
	for _, j := range jobs {
		p.starts(j)
	}
	for _, j := range jobs {
		p.copies(j)
	}
	return p.plan
}

// planner makes one plan.
type planner struct {
	state  *queue.State
	view   View
	vms    []*queue.VM
	plan   Plan
	taken  map[rudderfork.VMID]rudderfork.Resources // by the starts of this plan
	placed map[stepOnVM]int
	groups int
	moves  int
	shared map[rudderfork.VMID]*colocation

	started map[rudderfork.JobID]int // runs of this plan
	wanted  map[string]float64       // by image of fillers; nil until asked for
	pairs   map[interference.Pair]float64
}

func newPlanner(s *queue.State, v View) *planner {
	return &planner{
		state: s, view: v, vms: s.VMs(), taken: map[rudderfork.VMID]rudderfork.Resources{}, placed: map[stepOnVM]int{},
		shared: map[rudderfork.VMID]*colocation{}, started: map[rudderfork.JobID]int{},
		pairs: map[interference.Pair]float64{},
	}
}

// stepOnVM names the tasks of a step, of one time, on a VM.
type stepOnVM struct {
	job        rudderfork.JobID
	time, step int
	vm         rudderfork.VMID
}

// ranked returns the live jobs, first things first.
func (p *planner) ranked() []*queue.Job {
	type ranked struct {
		job  *queue.Job
		rank rank
	}
	list := make([]ranked, 0, len(p.state.Live()))
	for _, j := range p.state.Live() {
		list = append(list, ranked{j, rankOf(p.state.Row(j), j, p.view.Now)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.job.ID, b.job.ID))
	})
	jobs := make([]*queue.Job, len(list))
	for i, r := range list {
		jobs[i] = r.job
	}
	return jobs
}

// starts plans the tasks of a job whose turn has come.
func (p *planner) starts(j *queue.Job) {
	if j.Status.Final() {
		return
	}
	for time, o := range j.Times {
		if o.DueMS > p.view.Now {
			continue
		}
		for step, st := range j.Spec.Steps {
			if o.Left[step] == 0 || !o.StepReady(st) {
				continue
			}
			if st.Gang {
				p.startGang(j, time, step)
				continue
			}
			p.startStep(j, time, step)
		}
	}
}

func (p *planner) startStep(j *queue.Job, time, step int) {
	for index := range j.Times[time].Steps[step] {
		k := queue.TaskKey{Job: j.ID, Time: time, Step: step, Index: index}
		if !p.wants(j.Task(k), k) {
			continue
		}
		vm, reason := p.place(j, k)
		if vm == nil {
			p.askFor(j, k)
			return // the others of the step are alike
		}
		if p.worthless(j, k, vm) {
			return
		}
		p.add(j, k, vm, reason, 0)
	}
}

// wants reports whether a task lacks a run.
func (p *planner) wants(t *queue.Task, k queue.TaskKey) bool {
	return !t.Done && len(t.Runs) == 0 && p.view.PutOff[k] <= p.view.Now
}

func (p *planner) add(j *queue.Job, k queue.TaskKey, vm *queue.VM, reason string, group int) {
	st := j.Spec.Steps[k.Step]
	p.plan.Starts = append(p.plan.Starts, Start{queue.Start{
		Task: k, VM: vm.ID, Life: vm.Life, Group: group, Ticket: p.view.Tickets[k.StepKey()][vm.ID],
	}, reason})
	p.taken[vm.ID] = p.taken[vm.ID].Add(st.Need())
	p.placed[stepOnVM{k.Job, k.Time, k.Step, vm.ID}]++
	p.colocationOn(vm).add(st, RunView{}, true)
	p.started[j.ID]++
}

// startGang starts all tasks of a gang, or none.
func (p *planner) startGang(j *queue.Job, time, step int) {
	members := j.Times[time].Steps[step]
	for i := range members {
		k := queue.TaskKey{Job: j.ID, Time: time, Step: step, Index: i}
		if !p.wants(&members[i], k) {
			return
		}
	}
	for _, rack := range p.racks(j.Spec.Steps[step]) {
		if p.gangOn(j, time, step, rack) {
			return
		}
	}
}

// racks returns the racks to try for a gang; "" stands for all together.
func (p *planner) racks(st queue.Step) []string {
	if !st.SameRack {
		return []string{""}
	}
	var racks []string
	for _, vm := range p.vms {
		if !slices.Contains(racks, vm.Rack) {
			racks = append(racks, vm.Rack)
		}
	}
	if i := slices.Index(racks, st.DataRack); i > 0 {
		racks[0], racks[i] = racks[i], racks[0]
	}
	return append(racks, "")
}

// gangOn plans a gang on the VMs of one rack; on failure the plan is as before.
func (p *planner) gangOn(j *queue.Job, time, step int, rack string) bool {
	p.groups++
	mark := len(p.plan.Starts)
	for i := range j.Times[time].Steps[step] {
		k := queue.TaskKey{Job: j.ID, Time: time, Step: step, Index: i}
		vm, reason := p.placeOn(j, k, rack)
		if vm == nil {
			p.askFor(j, k)
			p.drop(j, mark)
			return false
		}
		p.add(j, k, vm, "with its gang: "+reason, p.groups)
	}
	return true
}

// drop takes back the starts from mark on.
func (p *planner) drop(j *queue.Job, mark int) {
	for _, st := range p.plan.Starts[mark:] {
		p.taken[st.VM] = p.taken[st.VM].Sub(j.Spec.Steps[st.Task.Step].Need())
		p.placed[stepOnVM{st.Task.Job, st.Task.Time, st.Task.Step, st.VM}]--
		delete(p.shared, st.VM) // made anew, without the other starts: an estimate
	}
	p.plan.Starts = p.plan.Starts[:mark]
}

func (p *planner) place(j *queue.Job, k queue.TaskKey) (*queue.VM, string) {
	return p.placeOn(j, k, "")
}

// placeOn returns the VM with the least cost, of those in a rack ("" for any),
// and why.
func (p *planner) placeOn(j *queue.Job, k queue.TaskKey, rack string) (best *queue.VM, reason string) {
	least, able := 0.0, 0
	for _, vm := range p.vms {
		if rack != "" && vm.Rack != rack || p.obstacle(j, k, vm) != "" {
			continue
		}
		able++
		if c := p.cost(j, k, vm); best == nil || c < least {
			best, least = vm, c
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("least cost %.2f of %d VMs that can take it", least, able)
}

// obstacle says why a VM cannot take a task in this plan, or "" if it can.
func (p *planner) obstacle(j *queue.Job, k queue.TaskKey, vm *queue.VM) string {
	if p.state.Row(j).Advice != nil && p.view.Tickets[k.StepKey()][vm.ID] == "" {
		return "the adviser has given no leave for it"
	}
	return p.ownObstacle(j, k, vm)
}

// maxAsked is how many VMs an adviser is asked about at once: what the users'
// objectives allow time for.
const maxAsked = 30

// askFor wants an adviser's leave for a step that has no place, on the VMs that
// could take it otherwise.
func (p *planner) askFor(j *queue.Job, k queue.TaskKey) {
	if p.state.Row(j).Advice == nil {
		return
	}
	ask := Ask{Step: k.StepKey()}
	for _, vm := range p.vms {
		if p.ownObstacle(j, k, vm) == "" && p.view.Tickets[ask.Step][vm.ID] == "" {
			ask.VMs = append(ask.VMs, vm.ID)
		}
	}
	slices.SortStableFunc(ask.VMs, func(a, b rudderfork.VMID) int {
		return cmp.Compare(p.cost(j, k, p.state.VM(a)), p.cost(j, k, p.state.VM(b)))
	})
	if len(ask.VMs) > 0 {
		ask.VMs = ask.VMs[:min(len(ask.VMs), maxAsked)]
		p.plan.Asks = append(p.plan.Asks, ask)
	}
}

// ownObstacle is what keeps a VM from taking a task, but for an adviser.
func (p *planner) ownObstacle(j *queue.Job, k queue.TaskKey, vm *queue.VM) string {
	st := j.Spec.Steps[k.Step]
	switch view := p.view.VMs[vm.ID]; {
	case !view.Usable:
		return "it does not answer"
	case view.Draining:
		return "it is about to leave"
	case view.Closed:
		return "its upkeep is next"
	}
	if why := p.state.Obstacle(j, k, vm); why != "" {
		return why
	}
	if st.MaxPerVM > 0 && p.state.OnVM(vm, k)+p.placed[stepOnVM{k.Job, k.Time, k.Step, vm.ID}] >= st.MaxPerVM {
		return "it holds as many tasks of the step as it may"
	}
	held := vm.Used().Add(p.taken[vm.ID])
	if lack := held.Add(st.Need()).Lacking(vm.Capacity); lack != "" {
		return "too few " + lack
	}
	return ""
}

// Obstacles says for each VM why it cannot take a task now, or "" if it can.
func Obstacles(s *queue.State, v View, k queue.TaskKey) map[rudderfork.VMID]string {
	p := newPlanner(s, v)
	j := s.Job(k.Job)
	why := map[rudderfork.VMID]string{}
	for _, vm := range p.vms {
		why[vm.ID] = p.obstacle(j, k, vm)
		if why[vm.ID] == "" && p.worthless(j, k, vm) {
			why[vm.ID] = "the task would crawl beside the serving tasks there"
		}
	}
	return why
}
