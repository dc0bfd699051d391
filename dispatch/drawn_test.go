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
	drawnStates  = 300
	drawnChanges = 8
	// sameCost is how far apart costs may lie that are summed up in another order.
	sameCost = 1e-9
)

// drawnWorld is a world that changes at random.
type drawnWorld struct {
	*world
	rnd  *rand.Rand
	jobs int
}

func drawWorld(t *testing.T, seed uint64) *drawnWorld {
	w := &drawnWorld{world: newWorld(t, 0), rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range 2 + w.rnd.IntN(9) {
		w.drawVM(i)
	}
	for s := range 3 {
		for f := range 4 {
			w.pair[[2]string{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}] = float64(w.rnd.IntN(3)) * 3 * w.rnd.Float64()
		}
	}
	for range 3 + w.rnd.IntN(12) {
		w.drawJob()
	}
	return w
}

// drawVM registers a VM, or a new life of it.
func (w *drawnWorld) drawVM(n int) {
	id := rudderfork.VMID(fmt.Sprintf("vm%02d", n))
	labels := [][]string{{"a"}, {"a"}, {"b"}}
	w.s.Apply(queue.Command{Register: &queue.VM{
		ID: id, Incarnation: fmt.Sprint("life", w.rnd.Uint32()), Service: "desk", Rack: fmt.Sprintf("rack%d", n/3),
		Capacity: rudderfork.Resources{CPUMilli: 8_000 + int64(w.rnd.IntN(3))*4_000, MemoryMB: 16_000}, Labels: labels[w.rnd.IntN(3)],
	}}, w.view.Now)
	w.view.VMs[id] = VMView{Usable: true, Changes: w.rnd.Uint64()}
}

func (w *drawnWorld) drawJob() {
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

// change makes one of the changes that a leader sees.
func (w *drawnWorld) change() {
	w.view.Now += int64(w.rnd.IntN(800))
	switch w.rnd.IntN(9) {
	case 8:
		w.view.ShortDemand = ShortDemand{at: 1, tasks: float64(w.rnd.IntN(20)), cpu: 100 + 2_000*w.rnd.Float64()}
	case 0:
		w.drawJob()
	case 1:
		w.drawVM(w.rnd.IntN(11))
	case 2:
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", w.rnd.IntN(11)))
		w.view.VMs[id] = VMView{Usable: w.rnd.IntN(2) == 0, FailureScore: w.rnd.Float64(), Changes: w.rnd.Uint64()}
	case 3:
		w.s.Apply(queue.Command{Cancel: &queue.Cancel{Host: host, Path: fmt.Sprintf("/urgent/j%03d", 1+w.rnd.IntN(w.jobs))}}, w.view.Now)
	case 4:
		s, f := fmt.Sprintf("s%d", w.rnd.IntN(3)), fmt.Sprintf("f%d", w.rnd.IntN(4))
		w.pair[[2]string{s, f}] = 6 * w.rnd.Float64()
	default:
		w.drawFigures()
	}
}

// drawFigures ends some runs and reports on the others, VM by VM.
func (w *drawnWorld) drawFigures() {
	for _, vm := range w.s.VMs() {
		view := w.view.VMs[vm.ID]
		figures := w.rnd.IntN(3) > 0
		if figures {
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
			case figures:
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

// apply commits a plan's starts.
func (w *drawnWorld) apply(plan Plan) {
	if len(plan.Starts) == 0 {
		return
	}
	var c queue.Command
	for _, st := range plan.Starts {
		c.Starts = append(c.Starts, st.Start)
	}
	for i, n := range w.s.Apply(c, w.view.Now).Numbers {
		assert.Assert(w.t, n > 0, "%v was planned and refused", c.Starts[i])
	}
}

// plain weighs VMs one by one and from nothing, as the definition of a place says:
// the measure that plans are held against.
type plain struct {
	*drawnWorld
	starts []Start // of the plan, so far
}

// obstacle says why a VM cannot take a task beside the starts so far.
func (p *plain) obstacle(j *queue.Job, k queue.TaskKey, vm *queue.VM) string {
	st := j.Spec.Steps[k.Step]
	if view := p.view.VMs[vm.ID]; !view.Usable || view.Draining || view.Cordoned {
		return "unfit"
	}
	held, alike := vm.Used(), p.s.CountRuns(vm, k)
	for _, s := range p.starts {
		if s.VM != vm.ID {
			continue
		}
		held = held.Add(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step].Need())
		if s.Task.StepKey() == k.StepKey() {
			alike++
		}
	}
	switch {
	case st.MaxPerVM > 0 && alike >= st.MaxPerVM:
		return "too many"
	case !held.Add(st.Need()).Fits(vm.Capacity):
		return "no room"
	}
	return p.s.RejectReason(j, k, vm)
}

// mix returns the images, sizes and figures of what is on a VM.
func (p *plain) mix(vm *queue.VM) (headrooms map[string]float64, tasks map[string]int, fillers []filling, idle float64) {
	headrooms, tasks, idle = map[string]float64{}, map[string]int{}, pace.MaxUtilization*float64(vm.Capacity.CPUMilli)
	add := func(st queue.Step, run RunView, fresh bool) {
		cpu := float64(st.Size.CPUMilli)
		switch {
		case st.Filler:
			f := filling{st.Image, cpu * (1 - float64(run.PacedDownPercent)/100), fresh}
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
		add(p.s.Job(k.Job).Spec.Steps[k.Step], run, !seen || p.view.Now-run.FirstSeenAt < headroomDelayMS)
	}
	for _, s := range p.starts {
		if s.VM == vm.ID {
			add(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step], RunView{}, true)
		}
	}
	return headrooms, tasks, fillers, idle
}

// filling is what works beside serving tasks.
type filling struct {
	image string
	cpu   float64 // thousandths of a core at its present speed
	fresh bool
}

func (p *plain) speed(st queue.Step, vm *queue.VM) float64 {
	headrooms, _, fillers, idle := p.mix(vm)
	cpu, whole := float64(max(1, st.Size.CPUMilli)), float64(vm.Capacity.CPUMilli)
	speed := min(1, max(0, idle)/cpu)
	for image, headroom := range headrooms {
		room := headroom - placementHeadroom
		for _, f := range fillers {
			if f.fresh {
				room -= p.view.Pressure(image, f.image) * f.cpu / whole
			}
		}
		if harm := p.view.Pressure(image, st.Image) * cpu / whole; harm >= pace.NegligibleImpact {
			speed = min(speed, max(0, room)/harm)
		}
	}
	return speed
}

func (p *plain) cost(j *queue.Job, k queue.TaskKey, vm *queue.VM) float64 {
	st := j.Spec.Steps[k.Step]
	held := vm.Used()
	for _, s := range p.starts {
		if s.VM == vm.ID {
			held = held.Add(p.s.Job(s.Task.Job).Spec.Steps[s.Task.Step].Need())
		}
	}
	full := max(share(held.CPUMilli, vm.Capacity.CPUMilli), share(held.MemoryMB, vm.Capacity.MemoryMB))
	c := full + costFailureScore*p.view.VMs[vm.ID].FailureScore
	if st.DataRack != "" && vm.Rack != st.DataRack {
		c += costRemoteData
	}
	if slices.Contains(p.view.FailedOn[k], vm.ID) {
		c += costFailedBefore
	}
	switch {
	case st.Filler:
		c += 1/max(minSpeed, p.speed(st, vm)) - 1
	case st.TailMS > 0:
		c += p.servingCost(st, vm) - packingBonus*full
	}
	return c
}

func (p *plain) servingCost(st queue.Step, vm *queue.VM) (c float64) {
	_, tasks, fillers, _ := p.mix(vm)
	whole := float64(vm.Capacity.CPUMilli)
	room := func(extra int64, images ...string) float64 {
		spare := pace.MaxUtilization*whole - float64(extra)*pace.ServingUtilization
		for k := range vm.Runs() {
			spare -= p.lasting(k)
		}
		for _, s := range p.starts {
			if s.VM == vm.ID {
				spare -= p.lasting(s.Task)
			}
		}
		return max(0, spare) / whole * p.openness(tasks, images)
	}
	c = costFillerLoss * (room(0) - room(st.Size.CPUMilli, st.Image))
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

// lasting is what a task uses of what fillers could have, in thousandths of a core.
func (p *plain) lasting(k queue.TaskKey) float64 {
	st := p.s.Job(k.Job).Spec.Steps[k.Step]
	switch {
	case st.Filler:
		return 0
	case st.TailMS > 0:
		return pace.ServingUtilization * float64(st.Size.CPUMilli)
	}
	return float64(st.Size.CPUMilli)
}

func (p *plain) openness(tasks map[string]int, more []string) (open float64) {
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
		most := 0.0
		for image := range tasks {
			most = max(most, p.view.Pressure(image, filler))
		}
		for _, image := range more {
			most = max(most, p.view.Pressure(image, filler))
		}
		open += part / max(1, sum) / (1 + most*most/(halfTolerancePressure*halfTolerancePressure))
	}
	return open
}

// least returns the VM with the least cost of those that can take a task.
func (p *plain) least(j *queue.Job, k queue.TaskKey) (best *queue.VM, least float64) {
	least = math.Inf(1)
	for _, vm := range p.s.VMs() {
		if p.obstacle(j, k, vm) != "" {
			continue
		}
		if c := p.cost(j, k, vm); c < least {
			best, least = vm, c
		}
	}
	return best, least
}

// assertPlaces checks each start of a plan against all other places, and that what
// was not started has none.
func assertPlaces(w *drawnWorld, plan Plan) {
	w.t.Helper()
	p := &plain{drawnWorld: w}
	for i, st := range plan.Starts {
		j := w.s.Job(st.Task.Job)
		assert.Equal(w.t, p.obstacle(j, st.Task, w.s.VM(st.VM)), "", "start %d: %s", i, st.Task)
		_, least := p.least(j, st.Task)
		cost := p.cost(j, st.Task, w.s.VM(st.VM))
		assert.Assert(w.t, cost <= least+sameCost, "start %d: %s costs %g, and %g elsewhere", i, st.Task, cost, least)
		p.starts = append(p.starts, st)
	}
	for _, j := range w.s.Live() {
		p.assertNoPlace(j)
	}
}

// assertNoPlace checks that what a job lacks has no place; a lasting task may also
// leave room for short ones, and a filler wait because it would crawl. The place that it would have had at its turn may have been
// taken since, so for that any VM on which it crawls will do.
func (p *plain) assertNoPlace(j *queue.Job) {
	p.t.Helper()
	for step, st := range j.Spec.Steps {
		for index := range j.Occurrences[0].Steps[step] {
			k := queue.TaskKey{Job: j.ID, Step: step, Index: index}
			planned := slices.ContainsFunc(p.starts, func(s Start) bool { return s.Task == k })
			if planned || len(j.Task(k).Runs) > 0 || !p.s.Runnable(j, k, p.view.Now) {
				continue
			}
			best, _ := p.least(j, k)
			crawls := st.Filler && slices.ContainsFunc(p.s.VMs(), func(vm *queue.VM) bool { return p.speed(st, vm) < minStartSpeed })
			yields := st.Lasting && j.Task(k).LastRun == 0 && p.view.ShortDemand.tasks > 0
			assert.Assert(p.t, best == nil || crawls || yields, "%s waits, and %s could take it", k, nameOf(best))
		}
	}
}

func nameOf(vm *queue.VM) rudderfork.VMID {
	if vm == nil {
		return ""
	}
	return vm.ID
}

// TestDrawnStates holds plans against the plain definition of a place, and those of a
// planner that has made others before against those of one that has not.
func TestDrawnStates(t *testing.T) {
	for seed := range uint64(drawnStates) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w, kept := drawWorld(t, seed), NewPlanner()
			for range drawnChanges {
				w.view.Relocate = w.rnd.IntN(3) == 0
				for _, j := range w.s.Live() {
					kept.Explain(w.s, w.view, j).RejectReasons(queue.TaskKey{Job: j.ID}) // changes nothing
				}
				plan := kept.Plan(w.s, w.view)
				assert.DeepEqual(t, plan, PlanOnce(w.s, w.view))
				assertPlaces(w, plan)
				if w.rnd.IntN(4) > 0 { // else its commit is lost
					w.apply(plan)
				}
				w.change()
			}
		})
	}
}
