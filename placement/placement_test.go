package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/usage"
)

var now = time.Unix(1000, 0)

// fixture is a state with VMs and a planner whose plans are applied.
type fixture struct {
	t     *testing.T
	s     *state.State
	index uint64
	usage *usage.Model
	p     *Planner
}

func newFixture(t *testing.T, vms int) *fixture {
	w := &fixture{t: t, s: state.New(), usage: usage.New(func() time.Time { return now })}
	w.p = NewPlanner(NewScored(interference.New(interference.ServicePrior())), interference.New(interference.ServicePrior()), w.usage, 1)
	for i := range vms {
		w.do(state.Command{Register: &state.Register{
			Place:    rudderfork.Place{VM: rudderfork.VMID(fmt.Sprintf("vm%d", i)), Domain: "d1"},
			Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
		}})
	}
	return w
}

func (w *fixture) do(c state.Command) state.Result {
	w.t.Helper()
	w.index++
	c.At = rudderfork.Millis(now)
	res := w.s.Apply(w.index, c)
	assert.Equal(w.t, res.Code, state.CodeOK, res.Text)
	return res
}

func (w *fixture) submit(id string, tasks int, cells map[string]int64) {
	w.t.Helper()
	w.do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{
		ID: rudderfork.JobID(id), Team: "heritage", Kind: "roster", Tasks: tasks, Units: 10, Cells: cells,
	}}})
}

// round plans one round, applies the plan and returns it.
func (w *fixture) round() Plan {
	w.t.Helper()
	p := w.p.PlanRound(w.s, now)
	if len(p.Evict.Evictions) > 0 {
		w.do(state.Command{Evict: &p.Evict})
	}
	if len(p.Place.Placements)+len(p.Place.Blocked) > 0 {
		res := w.do(state.Command{Place: &p.Place})
		for i, ok := range res.Placed {
			assert.Assert(w.t, ok, "placement %v was refused: %s", p.Place.Placements[i], res.Text)
		}
	}
	return p
}

func (w *fixture) running(job string) int { return w.s.Job(rudderfork.JobID(job)).Running }

func TestUnschedulableJob(t *testing.T) {
	w := newFixture(t, 2)
	w.submit("huge", 3, map[string]int64{rudderfork.ColCPU: 64_000})
	w.submit("small", 2, nil)
	w.round()
	assert.Equal(t, w.running("huge"), 0)
	assert.Equal(t, w.running("small"), 2, "the unschedulable job blocks another")
	assert.Equal(t, w.s.Job("huge").Blocked, "one task needs 64.00 cores, 256 MB, 0 accelerators; the largest VM offers 4.00 cores, 4000 MB, 0 accelerators")
	t.Run("it can run once its size is corrected", func(t *testing.T) {
		k := rudderfork.CellKey{Kind: rudderfork.RowJob, Row: "huge", Column: rudderfork.ColCPU}
		w.do(state.Command{Edit: &state.Edit{ID: "e1", Writes: []state.CellWrite{{Key: k, Value: 1000, IfRevision: w.s.Cell(k).Revision}}}})
		w.round()
		assert.Equal(t, w.s.Job("huge").Blocked, "")
		assert.Equal(t, w.running("huge"), 3)
	})
}

// TestCorrectedSizeFitsLargestVM guards against a corrected size that outgrows
// every VM, so that a task stays pending forever: here tasks use twice what they
// get, and each report raises the correction.
func TestCorrectedSizeFitsLargestVM(t *testing.T) {
	w := newFixture(t, 1)
	w.submit("greedy", 1, map[string]int64{rudderfork.ColCPU: 1300, rudderfork.ColMemory: 1000})
	declared := rudderfork.Resources{CPUMilli: 1300, MemoryMB: 1000}
	for range 200 {
		used := w.usage.Size("roster", declared)
		w.usage.ObserveTask("x/0", "roster", declared, used.Add(used), 0, false)
	}
	w.round()
	assert.Equal(t, w.running("greedy"), 1)
}

func TestQuota(t *testing.T) {
	w := newFixture(t, 2)
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "heritage", Column: rudderfork.ColCPU}
	w.do(state.Command{Edit: &state.Edit{ID: "q", Writes: []state.CellWrite{{Key: k, Value: 2500}}}})
	w.submit("night", 5, nil)
	w.round()
	assert.Equal(t, w.running("night"), 2)
	assert.Equal(t, w.s.Usage("heritage").CPUMilli, int64(2000))
}

func TestUrgentTaskPreempts(t *testing.T) {
	w := newFixture(t, 2)
	w.submit("night", 8, nil)
	w.round()
	assert.Equal(t, w.running("night"), 8)
	for i := range 8 {
		id := rudderfork.TaskID(fmt.Sprintf("night/%d", i))
		w.usage.ObserveTask(id, "roster", rudderfork.Resources{}, rudderfork.Resources{}, int64(10+i), false)
	}
	w.submit("urgent", 1, map[string]int64{rudderfork.ColPriority: 9, rudderfork.ColCPU: 2000})
	p := w.round()
	assert.Equal(t, len(p.Evict.Evictions), 2)
	t.Run("the tasks with the least unsaved work are evicted", func(t *testing.T) {
		lost := w.usage.UnsavedWork(p.Evict.Evictions[0].Task) + w.usage.UnsavedWork(p.Evict.Evictions[1].Task)
		assert.Equal(t, lost, int64(22), "it evicts %v", p.Evict.Evictions)
	})
	t.Run("nothing more is evicted while evictions are in progress", func(t *testing.T) {
		assert.Equal(t, len(w.round().Evict.Evictions), 0)
	})
	t.Run("it starts when the evicted tasks have stopped", func(t *testing.T) {
		for _, e := range p.Evict.Evictions {
			vm := w.s.Task(e.Task).VM
			w.do(state.Command{Reports: &state.Reports{VM: vm, Reports: []rudderfork.Report{{Task: e.Task, Token: e.Token, Outcome: rudderfork.OutcomeStopped}}}})
		}
		w.round()
		assert.Equal(t, w.running("urgent"), 1)
	})
}

func TestAvoidsVMWhereTaskFailed(t *testing.T) {
	w := newFixture(t, 3)
	w.submit("night", 1, nil)
	w.round()
	first := w.s.Task("night/0").VM
	w.do(state.Command{Reports: &state.Reports{VM: first, Reports: []rudderfork.Report{{Task: "night/0", Token: 1, Outcome: rudderfork.OutcomeFailed}}}})
	w.round()
	assert.Assert(t, w.s.Task("night/0").VM != first)
}

// TestEvictsUnderPressure reports that throttling is not enough on a VM: each
// report evicts one task, the one with the least unsaved work for its weight,
// and the task stays pending as long as the pressure is high.
func TestEvictsUnderPressure(t *testing.T) {
	w := newFixture(t, 1)
	w.do(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: "vm0", Domain: "d1"}, Services: []rudderfork.Service{"tour"},
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
	w.submit("cheap", 2, map[string]int64{rudderfork.ColWeight: 50})
	w.submit("dear", 2, map[string]int64{rudderfork.ColWeight: 500})
	w.round()
	w.usage.ObservePressure("vm0", 1.4, true)
	p := w.round()
	assert.Equal(t, len(p.Evict.Evictions), 1)
	assert.Equal(t, p.Evict.Evictions[0].Task, rudderfork.TaskID("cheap/0"))
	assert.Equal(t, len(w.round().Evict.Evictions), 0, "one report evicted two tasks")
	t.Run("it is not placed again while the pressure stays high", func(t *testing.T) {
		e := p.Evict.Evictions[0]
		w.do(state.Command{Reports: &state.Reports{VM: "vm0", Reports: []rudderfork.Report{{Task: e.Task, Token: e.Token, Outcome: rudderfork.OutcomeStopped}}}})
		w.round()
		assert.Equal(t, w.s.Task(e.Task).Phase, rudderfork.TaskPending)
	})
	t.Run("it is placed again when the pressure has fallen", func(t *testing.T) {
		w.usage.ObservePressure("vm0", 0.3, false)
		w.round()
		assert.Equal(t, w.running("cheap"), 2)
	})
}

// kinds is an interference model with given slowdowns, by kind.
type kinds map[string]float64

func (k kinds) Slowdown(_ rudderfork.Service, kind string, _ time.Time) (factor, stderr float64) {
	return k[kind], 0
}

// TestPressureLimitDependsOnKind has a VM whose service is near its target: a
// kind that hardly slows the service is placed there, one that would raise the
// pressure above the limit is not.
func TestPressureLimitDependsOnKind(t *testing.T) {
	w := newFixture(t, 0)
	model := kinds{"noisy": 1.4, "quiet": 1.01}
	w.p = NewPlanner(NewScored(model), model, w.usage, 1)
	w.do(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: "vm0", Domain: "d1"}, Services: []rudderfork.Service{"tour"},
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
	w.usage.ObservePressure("vm0", 0.8, false)
	for _, kind := range []string{"noisy", "quiet"} {
		w.do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{ID: rudderfork.JobID(kind), Team: "t", Kind: kind, Tasks: 1, Units: 10}}})
	}
	w.round()
	assert.Equal(t, w.running("quiet"), 1)
	assert.Equal(t, w.running("noisy"), 0)
	w.usage.ObservePressure("vm0", 0.5, false)
	w.round()
	assert.Equal(t, w.running("noisy"), 1)
}
