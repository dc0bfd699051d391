package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/queue"
)

// newBurst returns a simulation of short tasks on 4 VMs, which are nearly full, and for 6 s get
// several times as much work as they can do.
func newBurst(t *testing.T, seed uint64, admit bool) *simulation {
	sim := &simulation{fixture: newFixture(t, 0), rnd: rand.New(rand.NewPCG(seed, 3)), pl: NewPlanner()}
	for i := range 4 {
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		sim.s.Apply(queue.Command{Register: &queue.VM{ID: id, Incarnation: "life", Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 16_000, MemoryMB: 64_000}}}, 1)
		sim.view.VMs[id] = VMView{Usable: true, Changes: 1}
	}
	for at := 1_000.0; at < 35_000; {
		every := 150.0
		if at > 20_000 && at < 26_000 {
			every = 19
		}
		at += sim.rnd.ExpFloat64() * every
		took := sim.logNormal(850, 0.3, 3_000)
		st := cpuStep(410)
		st.Count, st.ExpectedMS = int(max(1, sim.logNormal(16, 0.5, 60))), int64(max(1, took*sim.logNormal(1, 0.3, 3)))
		sim.jobs = append(sim.jobs, simJob{queue: "urgent", at: int64(at), spec: []queue.Step{st}, trueMS: []int64{int64(took)}})
	}
	if admit {
		sim.admission, sim.view.SummarizeBacklog = backlog.New(), true
	}
	sim.simulate()
	return sim
}

func (sim *simulation) newcomer(i int) backlog.Job {
	q, _ := sim.s.Document().Queue(sim.jobs[i].queue)
	return NewcomerOf(q, rudderfork.JobID(sim.id(i)), queue.Spec{Steps: sim.jobs[i].spec}, nil)
}

// refuses reports whether the controller refuses a job of the day. Its caller does not return.
func (sim *simulation) refuses(i int) bool {
	if sim.admission == nil {
		return false
	}
	sim.admission.ObserveEnds(func(id rudderfork.JobID) backlog.Progress {
		j := sim.s.Job(id)
		return backlog.Progress{Ended: j.Status.Final(), TookMS: float64(j.EndedAt - j.SubmittedAt)}
	}, sim.view.Now)
	j := sim.newcomer(i)
	d := sim.admission.Decide(j, sim.view.Now)
	if sim.jobs[i].refused = d.Refused(); d.Refused() {
		sim.admission.Refuse(j, d, sim.view.Now)
	} else {
		sim.admission.Accept(j, d, sim.view.Now)
	}
	return d.Refused()
}

// isWorthless reports whether a job was accepted and ended when it was worth nothing.
func (sim *simulation) isWorthless(i int) bool {
	return !sim.jobs[i].refused && float64(sim.jobs[i].done-sim.jobs[i].at) > sim.newcomer(i).WorthlessMS
}

// TestRefusalsInBurst plays the same days with and without refusals. It guards against callers that
// wait for jobs that end when they are worth nothing, against refusals of jobs that would have ended
// before that, and against refusals of large jobs only.
func TestRefusalsInBurst(t *testing.T) {
	const days = 3
	all, refused, wrong, large, largeRefused := 0.0, 0.0, 0.0, 0.0, 0.0
	worthless := map[bool]int{}
	for seed := range uint64(days) {
		off, on := newBurst(t, seed, false), newBurst(t, seed, true)
		order := make([]int, len(on.jobs))
		for i := range order {
			order[i] = i
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(on.newcomer(b).Work, on.newcomer(a).Work) })
		for position, i := range order {
			all++
			isLarge := position < len(order)/10
			if isLarge {
				large++
			}
			if off.isWorthless(i) {
				worthless[false]++
			}
			if on.isWorthless(i) {
				worthless[true]++
			}
			if !on.jobs[i].refused {
				continue
			}
			refused++
			if isLarge {
				largeRefused++
			}
			if !off.isWorthless(i) {
				wrong++
			}
		}
	}
	t.Logf("jobs: %.0f, refused: %.0f, of these wrongly: %.0f, worthless: %v, refused of the %.0f largest: %.0f", all, refused, wrong, worthless, large, largeRefused)
	assert.Assert(t, float64(worthless[true]) < 0.85*float64(worthless[false]))
	assert.Assert(t, wrong < 0.15*refused)
	assert.Assert(t, largeRefused/large <= 2*refused/all)
}

// TestNewcomerOfHugeEstimate guards against an objective that overflows, so that a job counts as
// worthless from the start.
func TestNewcomerOfHugeEstimate(t *testing.T) {
	st := cpuStep(1_000)
	st.ExpectedMS = math.MaxInt64
	j := NewcomerOf(queue.Queue{Stretch: 1.5, LatencyMS: 300}, "huge", queue.Spec{Steps: []queue.Step{st}}, nil)
	assert.Assert(t, j.WorthlessMS > j.PathMS, "%+v", j)
}

// TestBacklogSummary guards against work and capacity that are not in the summary, or that do not
// count for a lane.
func TestBacklogSummary(t *testing.T) {
	w := newFixture(t, 2) // 8 cores
	serving := servingStep("web", 1_500)
	w.submit("urgent", "serving", 1, serving)
	w.startPlanned()
	wide := cpuStep(1_000)
	wide.Count = 30
	long, large, labelled := wide, wide, wide
	long.ExpectedMS, large.Size.CPUMilli, labelled.Label = 1e12, 4_001, "a"
	w.submit("urgent", "wide", 900, wide)
	w.submit("later", "long", 900, long)
	w.submit("later", "large", 900, large)
	w.submit("later", "labelled", 900, labelled)
	w.submit("later", "worthless", -1e6, wide)
	w.submit("advised", "advised", 900, wide)
	second := wide
	second.DependsOn = []int{0}
	w.submit("later", "steps", 900, fillerStep("f", 100), second)
	w.submit("urgent", "huge", 900, fillerStep("f", 1e15))
	w.view.SummarizeBacklog = true
	plan := PlanOnce(w.s, w.view)
	assert.Equal(t, len(plan.Starts), 7, "6 short tasks and a filler")

	q := plan.Backlog.Lane(backlog.Lane{Service: "desk"})
	want := []backlog.Entry{
		{Priority: 0, JobWork: 30e6, Work: 24e6},
		{Priority: 2, JobWork: 30e6 + 100e3, Work: 30e6},
		{Priority: 2, JobWork: 30e3 * 1e12, Work: 30e3 * maxTaskMS},
	}
	assert.DeepEqual(t, q.Entries, want)
	assert.Equal(t, q.Waiting, 54)
	assert.Equal(t, q.Rate, 6_000.0, "without the serving task and what is too little for a short one")
	assert.Assert(t, q.Free.Hold(rudderfork.Resources{CPUMilli: 500}) && !q.Free.Hold(rudderfork.Resources{CPUMilli: 1_000}))
	assert.Equal(t, plan.Backlog.Lane(backlog.Lane{Service: "desk", Label: "a"}).Waiting, 30)
	assert.Assert(t, plan.Backlog.Lane(backlog.Lane{Service: "desk", Filler: true}) == nil)

	k := queue.TaskKey{Job: "huge"}
	w.s.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: "vm1", Incarnation: "life"}}}, w.view.Now)
	w.submit("urgent", "filler", 900, fillerStep("f", 4_000))
	q = PlanOnce(w.s, w.view).Backlog.Lane(backlog.Lane{Service: "desk", Filler: true})
	assert.Assert(t, q.Rate <= 8_000, "fillers use %f of 8,000", q.Rate)

	w.addVM(3)
	w.view.VMs["vm3"] = VMView{} // its agent has no session yet
	q = PlanOnce(w.s, w.view).Backlog.Lane(backlog.Lane{Service: "desk"})
	assert.Assert(t, q.Free.Hold(rudderfork.Resources{CPUMilli: 4_000}))
	w.view.VMs["vm3"] = VMView{Usable: true, Draining: true}
	q = PlanOnce(w.s, w.view).Backlog.Lane(backlog.Lane{Service: "desk"})
	assert.Assert(t, !q.Free.Hold(rudderfork.Resources{CPUMilli: 4_000}))
}
