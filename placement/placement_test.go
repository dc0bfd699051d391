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
	f := &fixture{t: t, s: state.New(), usage: usage.New(func() time.Time { return now })}
	f.p = NewPlanner(NewScored(interference.New(interference.ServicePrior())), interference.New(interference.ServicePrior()), f.usage, 1)
	for i := range vms {
		f.do(state.Command{Register: &state.Register{
			Place:    rudderfork.Place{VM: rudderfork.VMID(fmt.Sprintf("vm%d", i)), Domain: "d1"},
			Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
		}})
	}
	return f
}

func (f *fixture) do(c state.Command) state.Result {
	f.t.Helper()
	f.index++
	c.At = rudderfork.Millis(now)
	res := f.s.Apply(f.index, c)
	assert.Equal(f.t, res.Code, state.CodeOK, res.Text)
	return res
}

func (f *fixture) submit(id string, tasks int, cells map[string]int64) {
	f.t.Helper()
	f.do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{
		ID: rudderfork.JobID(id), Team: "heritage", Kind: "roster", Tasks: tasks, Units: 10, Cells: cells,
	}}})
}

// round plans one round, applies the plan and returns it.
func (f *fixture) round() Plan {
	f.t.Helper()
	p := f.p.PlanRound(f.s, now)
	if len(p.Evict.Evictions) > 0 {
		f.do(state.Command{Evict: &p.Evict})
	}
	if len(p.Place.Placements)+len(p.Place.Blocked) > 0 {
		res := f.do(state.Command{Place: &p.Place})
		for i, ok := range res.Placed {
			assert.Assert(f.t, ok, "placement %v was rejected: %s", p.Place.Placements[i], res.Text)
		}
	}
	return p
}

func (f *fixture) running(job string) int { return f.s.Job(rudderfork.JobID(job)).Running }

func TestUnschedulableJob(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("huge", 3, map[string]int64{rudderfork.ColCPU: 64_000})
	f.submit("small", 2, nil)
	f.round()
	assert.Equal(t, f.running("huge"), 0)
	assert.Equal(t, f.running("small"), 2, "the unschedulable job blocks another")
	assert.Equal(t, f.s.Job("huge").Blocked, "one task needs 64.00 cores, 256 MB, 0 accelerators; the largest VM offers 4.00 cores, 4000 MB, 0 accelerators")
	t.Run("it can run once its size is corrected", func(t *testing.T) {
		k := rudderfork.CellKey{Kind: rudderfork.RowJob, Row: "huge", Column: rudderfork.ColCPU}
		f.do(state.Command{Edit: &state.Edit{ID: "e1", Writes: []state.CellWrite{{Key: k, Value: 1000, IfRevision: f.s.Cell(k).Revision}}}})
		f.round()
		assert.Equal(t, f.s.Job("huge").Blocked, "")
		assert.Equal(t, f.running("huge"), 3)
	})
}

// TestCorrectedSizeFitsLargestVM guards against a corrected size that outgrows
// every VM, so that a task stays pending forever: here tasks use twice what they
// get, and each report raises the correction.
func TestCorrectedSizeFitsLargestVM(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("greedy", 1, map[string]int64{rudderfork.ColCPU: 1300, rudderfork.ColMemory: 1000})
	declared := rudderfork.Resources{CPUMilli: 1300, MemoryMB: 1000}
	for range 200 {
		used := f.usage.Size("roster", declared)
		f.usage.ObserveTask("x/0", "roster", declared, used.Add(used), 0, false)
	}
	f.round()
	assert.Equal(t, f.running("greedy"), 1)
}

func TestQuota(t *testing.T) {
	f := newFixture(t, 2)
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "heritage", Column: rudderfork.ColCPU}
	f.do(state.Command{Edit: &state.Edit{ID: "q", Writes: []state.CellWrite{{Key: k, Value: 2500}}}})
	f.submit("night", 5, nil)
	f.round()
	assert.Equal(t, f.running("night"), 2)
	assert.Equal(t, f.s.Usage("heritage").CPUMilli, int64(2000))
}

func TestUrgentTaskPreempts(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("night", 8, nil)
	f.round()
	assert.Equal(t, f.running("night"), 8)
	for i := range 8 {
		id := rudderfork.TaskID(fmt.Sprintf("night/%d", i))
		f.usage.ObserveTask(id, "roster", rudderfork.Resources{}, rudderfork.Resources{}, int64(10+i), false)
	}
	f.submit("urgent", 1, map[string]int64{rudderfork.ColPriority: 9, rudderfork.ColCPU: 2000})
	p := f.round()
	assert.Equal(t, len(p.Evict.Evictions), 2)
	t.Run("the tasks with the least unsaved work are evicted", func(t *testing.T) {
		lost := f.usage.UnsavedWork(p.Evict.Evictions[0].Task) + f.usage.UnsavedWork(p.Evict.Evictions[1].Task)
		assert.Equal(t, lost, int64(22), "the evictions are %v", p.Evict.Evictions)
	})
	t.Run("nothing more is evicted while evictions are in progress", func(t *testing.T) {
		assert.Equal(t, len(f.round().Evict.Evictions), 0)
	})
	t.Run("it starts when the evicted tasks have stopped", func(t *testing.T) {
		for _, e := range p.Evict.Evictions {
			vm := f.s.Task(e.Task).VM
			f.do(state.Command{Reports: &state.Reports{VM: vm, Reports: []rudderfork.Report{{Task: e.Task, Token: e.Token, Outcome: rudderfork.OutcomeStopped}}}})
		}
		f.round()
		assert.Equal(t, f.running("urgent"), 1)
	})
}

func TestAvoidsVMWhereTaskFailed(t *testing.T) {
	f := newFixture(t, 3)
	f.submit("night", 1, nil)
	f.round()
	first := f.s.Task("night/0").VM
	f.do(state.Command{Reports: &state.Reports{VM: first, Reports: []rudderfork.Report{{Task: "night/0", Token: 1, Outcome: rudderfork.OutcomeFailed}}}})
	f.round()
	assert.Assert(t, f.s.Task("night/0").VM != first)
}

// TestEvictsUnderPressure checks that each report that throttling is not enough on
// a VM evicts one task, the one with the least product of unsaved work and weight,
// and that the task stays pending as long as the pressure is high.
func TestEvictsUnderPressure(t *testing.T) {
	f := newFixture(t, 1)
	f.do(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: "vm0", Domain: "d1"}, Services: []rudderfork.Service{"tour"},
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
	f.submit("cheap", 2, map[string]int64{rudderfork.ColWeight: 50})
	f.submit("dear", 2, map[string]int64{rudderfork.ColWeight: 500})
	f.round()
	f.usage.ObservePressure("vm0", 1.4, true)
	p := f.round()
	assert.Equal(t, len(p.Evict.Evictions), 1)
	assert.Equal(t, p.Evict.Evictions[0].Task, rudderfork.TaskID("cheap/0"))
	assert.Equal(t, len(f.round().Evict.Evictions), 0, "one report evicted two tasks")
	t.Run("it is not placed again while the pressure stays high", func(t *testing.T) {
		e := p.Evict.Evictions[0]
		f.do(state.Command{Reports: &state.Reports{VM: "vm0", Reports: []rudderfork.Report{{Task: e.Task, Token: e.Token, Outcome: rudderfork.OutcomeStopped}}}})
		f.round()
		assert.Equal(t, f.s.Task(e.Task).Phase, rudderfork.TaskPending)
	})
	t.Run("it is placed again when the pressure has fallen", func(t *testing.T) {
		f.usage.ObservePressure("vm0", 0.3, false)
		f.round()
		assert.Equal(t, f.running("cheap"), 2)
	})
}

// kinds is an interference model with given slowdowns, by kind.
type kinds map[string]float64

func (k kinds) Slowdown(_ rudderfork.Service, kind string, _ time.Time) (factor, stderr float64) {
	return k[kind], 0
}

// TestPressureLimitDependsOnKind checks that on a VM whose service is near its
// target a kind that hardly slows the service is placed, and that one that would
// raise the pressure above the limit is not.
func TestPressureLimitDependsOnKind(t *testing.T) {
	f := newFixture(t, 0)
	model := kinds{"noisy": 1.4, "quiet": 1.01}
	f.p = NewPlanner(NewScored(model), model, f.usage, 1)
	f.do(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: "vm0", Domain: "d1"}, Services: []rudderfork.Service{"tour"},
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
	f.usage.ObservePressure("vm0", 0.8, false)
	for _, kind := range []string{"noisy", "quiet"} {
		f.do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{ID: rudderfork.JobID(kind), Team: "t", Kind: kind, Tasks: 1, Units: 10}}})
	}
	f.round()
	assert.Equal(t, f.running("quiet"), 1)
	assert.Equal(t, f.running("noisy"), 0)
	f.usage.ObservePressure("vm0", 0.5, false)
	f.round()
	assert.Equal(t, f.running("noisy"), 1)
}
