package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	randomStates    = 300
	changesPerState = 8
	// costTolerance is the most by which two costs may differ because their parts are added
	// in another order.
	costTolerance = 1e-9
)

// randomFixture is a fixture with random contents that changes at random.
type randomFixture struct {
	*fixture
	rnd  *rand.Rand
	jobs int
}

func newRandomFixture(t *testing.T, seed uint64) *randomFixture {
	w := &randomFixture{fixture: newFixture(t, 0), rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range 2 + w.rnd.IntN(9) {
		w.registerRandomVM(i)
	}
	for s := range 3 {
		for f := range 4 {
			w.pressures[[2]string{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}] = float64(w.rnd.IntN(3)) * 3 * w.rnd.Float64()
		}
	}
	for range 3 + w.rnd.IntN(12) {
		w.submitRandomJob()
	}
	return w
}

// registerRandomVM registers a VM or a new incarnation of its executor.
func (w *randomFixture) registerRandomVM(n int) {
	id := rudderfork.VMID(fmt.Sprintf("vm%02d", n))
	labels := [][]string{{"a"}, {"a"}, {"b"}}
	w.s.Apply(queue.Command{Register: &queue.VM{
		ID: id, Incarnation: fmt.Sprint("life", w.rnd.Uint32()), Service: "desk", Rack: fmt.Sprintf("rack%d", n/3),
		Capacity: rudderfork.Resources{CPUMilli: 8_000 + int64(w.rnd.IntN(3))*4_000, MemoryMB: 16_000}, Labels: labels[w.rnd.IntN(3)],
	}}, w.view.Now)
	w.view.VMs[id] = VMView{Usable: true, Changes: w.rnd.Uint64()}
}

func (w *randomFixture) submitRandomJob() {
	w.jobs++
	id := fmt.Sprintf("j%03d", w.jobs)
	size := rudderfork.Resources{CPUMilli: int64(100 + w.rnd.IntN(4_000)), MemoryMB: int64(100 + w.rnd.IntN(4_000))}
	st := queue.Step{Count: 1 + w.rnd.IntN(8), Size: size, ExpectedMS: int64(200 + w.rnd.IntN(3_000))}
	if w.rnd.IntN(4) == 0 {
		st.MaxPerVM = 1 + w.rnd.IntN(2)
	}
	if w.rnd.IntN(6) == 0 {
		st.Label = "b"
	}
	if w.rnd.IntN(4) == 0 {
		st.DataRack = "rack1"
	}
	at := w.view.Now - int64(w.rnd.IntN(2_000))
	switch w.rnd.IntN(3) {
	case 0:
		st.Image, st.TailMS, st.Lasting = fmt.Sprintf("s%d", w.rnd.IntN(3)), 18, true
		w.submit("urgent", id, at, st)
	case 1:
		st.Image, st.Filler, st.Checkpoints = fmt.Sprintf("f%d", w.rnd.IntN(4)), true, w.rnd.IntN(2) == 0
		w.submit("later", id, at, st)
	default:
		st.Speculative = w.rnd.IntN(3) == 0
		second := st
		second.DependsOn = []int{0}
		w.submit("urgent", id, at, st, second)
	}
}

// changeRandomly advances the clock and makes one random change to the state or the view.
func (w *randomFixture) changeRandomly() {
	w.view.Now += int64(w.rnd.IntN(800))
	switch w.rnd.IntN(9) {
	case 8:
		w.view.ShortDemand = ShortDemand{at: 1, tasks: float64(w.rnd.IntN(20)), cpu: 100 + 2_000*w.rnd.Float64()}
	case 0:
		w.submitRandomJob()
	case 1:
		w.registerRandomVM(w.rnd.IntN(11))
	case 2:
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", w.rnd.IntN(11)))
		w.view.VMs[id] = VMView{Usable: w.rnd.IntN(2) == 0, FailureScore: w.rnd.Float64(), Changes: w.rnd.Uint64()}
	case 3:
		w.s.Apply(queue.Command{Cancel: &queue.Cancel{Host: host, Path: fmt.Sprintf("/urgent/j%03d", 1+w.rnd.IntN(w.jobs))}}, w.view.Now)
	case 4:
		s, f := fmt.Sprintf("s%d", w.rnd.IntN(3)), fmt.Sprintf("f%d", w.rnd.IntN(4))
		w.pressures[[2]string{s, f}] = 6 * w.rnd.Float64()
	default:
		w.reportRandomRuns()
	}
}

// reportRandomRuns ends some runs and records failures or new reports of others, VM by VM.
func (w *randomFixture) reportRandomRuns() {
	for _, vm := range w.s.VMs() {
		view := w.view.VMs[vm.ID]
		reported := w.rnd.IntN(3) > 0
		if reported {
			view.Changes++
			w.view.VMs[vm.ID] = view
		}
		var ends []queue.End
		for k, number := range vm.Runs() {
			switch n := w.rnd.IntN(5); {
			case n == 0:
				ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeDone})
			case n == 1:
				w.view.FailedOn[k] = append(w.view.FailedOn[k], vm.ID)
			case reported:
				w.view.Runs[k.Run(number)] = RunView{
					Percent: 10 * w.rnd.IntN(11), FirstSeenAt: w.view.Now - int64(w.rnd.IntN(2_000)), ProgressedAt: w.view.Now - int64(w.rnd.IntN(2_000)),
					Load: int64(w.rnd.IntN(20)), PacedDownPercent: 10 * w.rnd.IntN(11), PacedDownSince: w.view.Now - int64(w.rnd.IntN(2_000)),
				}
			}
		}
		slices.SortFunc(ends, func(a, b queue.End) int { return a.Task.Compare(b.Task) })
		w.s.Apply(queue.Command{Ends: &queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation, List: ends}}, w.view.Now)
	}
}

// commitStarts commits a plan's starts.
func (w *randomFixture) commitStarts(plan Plan) {
	if len(plan.Starts) == 0 {
		return
	}
	var c queue.Command
	for _, st := range plan.Starts {
		c.Starts = append(c.Starts, st.Start)
	}
	for i, n := range w.s.Apply(c, w.view.Now).Numbers {
		assert.Assert(w.t, n > 0, "%v was planned, but the state refused it", c.Starts[i])
	}
}

// reference computes costs from their definition, for one VM at a time and without a
// cache. Plans are compared with it, start by start.
type reference struct {
	*randomFixture
	starts []Start // starts of the plan that have been compared
}

// rejectReason returns why a VM cannot take a task in addition to p.starts, or "" if it can.
func (p *reference) rejectReason(j *queue.Job, k queue.TaskKey, vm *queue.VM) string {
	st := j.Spec.Steps[k.Step]
	if view := p.view.VMs[vm.ID]; !view.Usable || view.Draining || view.CordonedForUpkeep {
		return "not schedulable"
	}
	used, sameStep := vm.Used(), p.s.CountRuns(vm, k)
	for _, s := range p.starts {
		if s.VM != vm.ID {
			continue
		}
		used = used.Add(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step].Need())
		if s.Task.StepKey() == k.StepKey() {
			sameStep++
		}
	}
	switch {
	case st.MaxPerVM > 0 && sameStep >= st.MaxPerVM:
		return "too many"
	case !used.Add(st.Need()).Fits(vm.Capacity):
		return "no capacity"
	}
	return p.s.RejectReason(j, k, vm)
}

// colocated returns the lowest headroom and the number of serving tasks by image, the fillers,
// and the idle processors, in thousandths of a core, of a VM.
func (p *reference) colocated(vm *queue.VM) (headrooms map[string]float64, tasks map[string]int, fillers []refFiller, idle float64) {
	headrooms, tasks, idle = map[string]float64{}, map[string]int{}, pace.MaxUtilization*float64(vm.Capacity.CPUMilli)
	addRun := func(st queue.Step, run RunView, unmeasured bool) {
		cpu := float64(st.Size.CPUMilli)
		switch {
		case st.Filler:
			f := refFiller{st.Image, cpu * (1 - float64(run.PacedDownPercent)/100), unmeasured}
			fillers = append(fillers, f)
			idle -= f.cpu
		case st.TailMS > 0:
			headroom := defaultHeadroom
			if run.Load > 0 {
				headroom = min(pace.Headroom(st.TailMS, run.Load), pace.MaxHeadroom)
			}
			if tasks[st.Image]++; tasks[st.Image] > 1 {
				headroom = min(headroom, headrooms[st.Image])
			}
			headrooms[st.Image] = headroom
			idle -= cpu * pace.ServingUtilization
		default:
			idle -= cpu
		}
	}
	for k, n := range vm.Runs() {
		run, seen := p.view.Runs[k.Run(n)]
		addRun(p.s.Job(k.Job).Spec.Steps[k.Step], run, !seen || p.view.Now-run.FirstSeenAt < headroomDelayMS)
	}
	for _, s := range p.starts {
		if s.VM == vm.ID {
			addRun(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step], RunView{}, true)
		}
	}
	return headrooms, tasks, fillers, idle
}

// refFiller is a filler beside serving tasks.
type refFiller struct {
	image      string
	cpu        float64 // CPU use at its present speed, thousandths of a core
	unmeasured bool
}

func (p *reference) fillerSpeed(st queue.Step, vm *queue.VM) float64 {
	headrooms, _, fillers, idle := p.colocated(vm)
	cpu, whole := float64(max(1, st.Size.CPUMilli)), float64(vm.Capacity.CPUMilli)
	speed := min(1, max(0, idle)/cpu)
	for image, headroom := range headrooms {
		slack := headroom - placementHeadroom
		for _, f := range fillers {
			if f.unmeasured {
				slack -= p.view.Pressure(image, f.image) * f.cpu / whole
			}
		}
		if impact := p.view.Pressure(image, st.Image) * cpu / whole; impact >= pace.NegligibleImpact {
			speed = min(speed, max(0, slack)/impact)
		}
	}
	return speed
}

func (p *reference) cost(j *queue.Job, k queue.TaskKey, vm *queue.VM) float64 {
	st := j.Spec.Steps[k.Step]
	used := vm.Used()
	for _, s := range p.starts {
		if s.VM == vm.ID {
			used = used.Add(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step].Need())
		}
	}
	full := max(share(used.CPUMilli, vm.Capacity.CPUMilli), share(used.MemoryMB, vm.Capacity.MemoryMB))
	c := full + costFailureScore*p.view.VMs[vm.ID].FailureScore
	if st.DataRack != "" && vm.Rack != st.DataRack {
		c += costRemoteData
	}
	if slices.Contains(p.view.FailedOn[k], vm.ID) {
		c += costFailedBefore
	}
	switch {
	case st.Filler:
		c += 1/max(minSpeed, p.fillerSpeed(st, vm)) - 1
	case st.TailMS > 0:
		c += p.servingCost(st, vm) - packingBonus*full
	}
	return c
}

func (p *reference) servingCost(st queue.Step, vm *queue.VM) (c float64) {
	_, tasks, fillers, _ := p.colocated(vm)
	whole := float64(vm.Capacity.CPUMilli)
	fillerCapacity := func(extra int64, images ...string) float64 {
		spare := pace.MaxUtilization*whole - float64(extra)*pace.ServingUtilization
		for k := range vm.Runs() {
			spare -= p.nonFillerUse(k)
		}
		for _, s := range p.starts {
			if s.VM == vm.ID {
				spare -= p.nonFillerUse(s.Task)
			}
		}
		return max(0, spare) / whole * p.fillerTolerance(tasks, images)
	}
	c = costFillerLoss * (fillerCapacity(0) - fillerCapacity(st.Size.CPUMilli, st.Image))
	all := 0
	for _, n := range tasks {
		all += n
	}
	if all == 0 {
		c += costNoServing
	} else {
		c += costOtherImages * float64(all-tasks[st.Image]) / float64(all)
	}
	for _, f := range fillers {
		c += p.view.Pressure(st.Image, f.image) * f.cpu / whole
	}
	return c
}

// nonFillerUse returns the processors that a task takes from fillers, in thousandths of a
// core.
func (p *reference) nonFillerUse(k queue.TaskKey) float64 {
	st := p.s.Job(k.Job).Spec.Steps[k.Step]
	switch {
	case st.Filler:
		return 0
	case st.TailMS > 0:
		return pace.ServingUtilization * float64(st.Size.CPUMilli)
	}
	return float64(st.Size.CPUMilli)
}

func (p *reference) fillerTolerance(tasks map[string]int, extra []string) (tolerated float64) {
	work, sum := map[string]float64{}, 0.0
	for _, j := range p.s.Live() {
		for i, st := range j.Spec.Steps {
			if !st.Filler {
				continue
			}
			w := float64(j.Occurrences[0].Remaining[i]) * float64(st.Size.CPUMilli) * float64(max(1, st.ExpectedMS))
			work[st.Image] += w
			sum += w
		}
	}
	for filler, part := range work {
		highest := 0.0
		for image := range tasks {
			highest = max(highest, p.view.Pressure(image, filler))
		}
		for _, image := range extra {
			highest = max(highest, p.view.Pressure(image, filler))
		}
		tolerated += part / max(1, sum) / (1 + highest*highest/(halfTolerancePressure*halfTolerancePressure))
	}
	return tolerated
}

// cheapest returns the feasible VM with the lowest cost for a task.
func (p *reference) cheapest(j *queue.Job, k queue.TaskKey) (best *queue.VM, least float64) {
	least = math.Inf(1)
	for _, vm := range p.s.VMs() {
		if p.rejectReason(j, k, vm) != "" {
			continue
		}
		if c := p.cost(j, k, vm); c < least {
			best, least = vm, c
		}
	}
	return best, least
}

// assertMatchesReference checks that no VM costs less than the one of each start of a plan,
// and that no VM can take a task that is not started.
func assertMatchesReference(w *randomFixture, plan Plan) {
	w.t.Helper()
	p := &reference{randomFixture: w}
	for i, st := range plan.Starts {
		j := w.s.Job(st.Task.Job)
		assert.Equal(w.t, p.rejectReason(j, st.Task, w.s.VM(st.VM)), "", "start %d: %s", i, st.Task)
		_, least := p.cheapest(j, st.Task)
		cost := p.cost(j, st.Task, w.s.VM(st.VM))
		assert.Assert(w.t, cost <= least+costTolerance, "start %d: %s costs %g on its VM and %g on the cheapest", i, st.Task, cost, least)
		p.starts = append(p.starts, st)
	}
	for _, j := range w.s.Live() {
		p.assertWaitsForReason(j)
	}
}

// assertWaitsForReason checks that no VM can take the waiting tasks of a job. A lasting
// task may also wait because of the reserve for short tasks, and a filler because it would
// be too slow. The VM on which the filler was too slow may have no capacity left after the
// later starts of the plan, so any VM on which it is too slow counts.
func (p *reference) assertWaitsForReason(j *queue.Job) {
	p.t.Helper()
	for step, st := range j.Spec.Steps {
		for index := range j.Occurrences[0].Steps[step] {
			k := queue.TaskKey{Job: j.ID, Step: step, Index: index}
			planned := slices.ContainsFunc(p.starts, func(s Start) bool { return s.Task == k })
			if planned || len(j.Task(k).Runs) > 0 || !p.s.Runnable(j, k, p.view.Now) {
				continue
			}
			best, _ := p.cheapest(j, k)
			slow := st.Filler && slices.ContainsFunc(p.s.VMs(), func(vm *queue.VM) bool { return p.fillerSpeed(st, vm) < minStartSpeed })
			reserved := st.Lasting && j.Task(k).LastRun == 0 && p.view.ShortDemand.tasks > 0
			assert.Assert(p.t, best == nil || slow || reserved, "%s waits although %s can take it", k, nameOf(best))
		}
	}
}

func nameOf(vm *queue.VM) rudderfork.VMID {
	if vm == nil {
		return ""
	}
	return vm.ID
}

// TestPlansMatchReference compares plans with the reference, and plans of a reused planner
// with those of a new one.
func TestPlansMatchReference(t *testing.T) {
	for seed := range uint64(randomStates) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w, reused := newRandomFixture(t, seed), NewPlanner()
			for range changesPerState {
				w.view.Relocate = w.rnd.IntN(3) == 0
				for _, j := range w.s.Live() {
					reused.Explain(w.s, w.view, j).RejectReasons(queue.TaskKey{Job: j.ID}) // changes nothing
				}
				plan := reused.Plan(w.s, w.view)
				assert.DeepEqual(t, plan, PlanOnce(w.s, w.view))
				assertMatchesReference(w, plan)
				if w.rnd.IntN(4) > 0 { // else the commit is lost
					w.commitStarts(plan)
				}
				w.changeRandomly()
			}
		})
	}
}
