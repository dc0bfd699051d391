package queue

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

const (
	testHost = "tours.example"
	hour     = 3_600_000 // ms
)

// fixture is a state with a document of two queues, and some VMs.
type fixture struct {
	t *testing.T
	s *State
	n int64 // clock, ms
}

func newFixture(t *testing.T, vms int) *fixture {
	w := &fixture{t: t, s: New(), n: 1000}
	w.apply(Command{Document: document(1)})
	for i := range vms {
		w.register(rudderfork.VMID(fmt.Sprintf("vm%d", i+1)), "life-1")
	}
	return w
}

func document(version uint64) *Document {
	return &Document{
		Version: version, Text: fmt.Appendf(nil, "document %d", version),
		Queues: []Queue{
			{Name: "holds", Host: testHost, Prefix: "/holds/", Service: "desk", MaxAttempts: 2, Stretch: 1.5, LatencyMS: 250},
			{Name: "rosters", Host: testHost, Prefix: "/holds/rosters/", Service: "desk", Priority: 2, MaxAttempts: 3},
		},
		Pools: []Pool{{Service: "desk", Guarded: true}},
	}
}

func (w *fixture) apply(c Command) Result {
	w.n++
	before := usedOf(w.s)
	res := w.s.Apply(c, w.n)
	checkInvariants(w.t, w.s)
	checkCapacity(w.t, w.s, before)
	return res
}

// restore replaces the state by one restored from its encoded snapshot.
func (w *fixture) restore() {
	w.t.Helper()
	data, err := cbor.Marshal(w.s.Snapshot())
	assert.NilError(w.t, err)
	var snap Snapshot
	assert.NilError(w.t, cbor.Unmarshal(data, &snap))
	w.s = Restore(snap)
}

// usedOf returns the resources that active runs use on each VM.
func usedOf(s *State) map[rudderfork.VMID]rudderfork.Resources {
	used := map[rudderfork.VMID]rudderfork.Resources{}
	for id, vm := range s.vms {
		used[id] = vm.used
	}
	return used
}

// checkCapacity checks that a command does not fill a VM beyond its capacity. Runs on a VM whose
// capacity has shrunk may use more, but no more than before the command.
func checkCapacity(t *testing.T, s *State, before map[rudderfork.VMID]rudderfork.Resources) {
	t.Helper()
	for id, vm := range s.vms {
		assert.Assert(t, vm.used.Fits(vm.Capacity) || vm.used.Fits(before[id]), "%s uses %v of %v, and used %v before the command", id, vm.used, vm.Capacity, before[id])
	}
}

func (w *fixture) register(id rudderfork.VMID, inc string) {
	w.apply(Command{Register: &VM{
		ID: id, Incarnation: inc, Domain: "hall", Rack: "r-" + string(id), Service: "desk",
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}, Labels: []string{"a"},
	}})
}

func (w *fixture) submit(id string, steps ...Step) Result {
	return w.apply(Command{Submit: &Submit{Host: testHost, Path: "/holds/" + id, Spec: Spec{Steps: steps}, KeepMS: hour}})
}

func (w *fixture) start(k TaskKey, vm rudderfork.VMID) uint32 {
	return w.apply(Command{Starts: []Start{{Task: k, VM: vm, Incarnation: w.s.VM(vm).Incarnation}}}).Numbers[0]
}

func (w *fixture) end(k TaskKey, vm rudderfork.VMID, run uint32, outcome Outcome) bool {
	return w.apply(Command{Ends: &Ends{VM: vm, Incarnation: w.s.VM(vm).Incarnation, List: []End{{Task: k, Run: run, Outcome: outcome}}}}).Accepted[0]
}

func (w *fixture) status(id rudderfork.JobID) Status { return w.s.Job(id).Status }

func key(job rudderfork.JobID, step, index int) TaskKey {
	return TaskKey{Job: job, Step: step, Index: index}
}

// checkInvariants checks that the counts and indexes of a state agree with its runs, that no task has
// more runs than allowed, and that no run is on a lost VM.
func checkInvariants(t *testing.T, s *State) {
	t.Helper()
	used := map[rudderfork.VMID]rudderfork.Resources{}
	for _, j := range s.jobs {
		active := 0
		for occ, o := range j.Occurrences {
			for step, tasks := range o.Steps {
				left := 0
				for index, task := range tasks {
					k := TaskKey{j.ID, occ, step, index}
					active += len(task.Runs)
					if !task.Done {
						left++
					}
					assert.Assert(t, len(task.Runs) <= 1 || j.Spec.Steps[step].Speculative, "%v has %d runs", k, len(task.Runs))
					for _, r := range task.Runs {
						used[r.VM] = used[r.VM].Add(j.Spec.Steps[step].Need())
						assert.Equal(t, s.vms[r.VM].runs[k], r.Number)
						assert.Assert(t, s.vms[r.VM].Live, "%v runs on a lost VM", k)
					}
				}
				assert.Equal(t, o.Remaining[step], left)
			}
		}
		assert.Equal(t, j.ActiveRuns, active, "active runs of %s", j.ID)
		_, live := s.live[j.ID]
		assert.Equal(t, live, !j.Status.Final() || active > 0, "%s is %s", j.ID, j.Status)
	}
	for id, vm := range s.vms {
		assert.Equal(t, vm.used, used[id], "resources used on %s", id)
	}
}

var one = Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 1000}}

func TestSubmit(t *testing.T) {
	w := newFixture(t, 1)
	assert.Equal(t, w.submit("j1", one).Code, OK)
	t.Run("the same ID again is the same job", func(t *testing.T) {
		two := one
		two.Count = 2
		assert.Equal(t, w.submit("j1", two).Code, OK)
		assert.Equal(t, len(w.s.Job("j1").Occurrences[0].Steps[0]), 1)
	})
	t.Run("the longest prefix selects the queue", func(t *testing.T) {
		assert.Equal(t, w.submit("rosters/j2", one).Queue, "rosters")
	})
	t.Run("an invalid spec is refused", func(t *testing.T) {
		for _, spec := range []Spec{
			{},
			{Steps: []Step{{Count: 0}}},
			{Steps: []Step{{Count: 1, DependsOn: []int{0}}}},
			{Steps: []Step{{Count: 1, Size: rudderfork.Resources{CPUMilli: -1}}}},
			{Steps: []Step{{Count: maxTasks}, {Count: 1}}},
			{Steps: []Step{one}, Payload: string(make([]byte, MaxPayload+1))},
			{Steps: []Step{one}, Repeat: &Repeat{Count: maxRepeats + 1}},
		} {
			res := w.apply(Command{Submit: &Submit{Host: testHost, Path: "/holds/bad", Spec: spec}})
			assert.Equal(t, res.Code, Invalid)
			assert.Assert(t, res.Text != "")
		}
		assert.Assert(t, w.s.Job("bad") == nil)
	})
	t.Run("an unknown host has no queue", func(t *testing.T) {
		res := w.apply(Command{Submit: &Submit{Host: "other.example", Path: "/holds/j3", Spec: Spec{Steps: []Step{one}}}})
		assert.Equal(t, res.Code, NoQueue)
	})
	t.Run("a job stays accepted when its queue is removed", func(t *testing.T) {
		d := document(2)
		d.Queues = d.Queues[1:]
		w.apply(Command{Document: d})
		assert.Equal(t, w.submit("j1", one).Code, OK)
		assert.Equal(t, w.submit("j4", one).Code, NoQueue)
		assert.Equal(t, w.s.CurrentQueue(w.s.Job("j1")).MaxAttempts, 2)
	})
}

func TestNoDocument(t *testing.T) {
	res := New().Apply(Command{Submit: &Submit{Host: testHost, Path: "/holds/j", Spec: Spec{Steps: []Step{one}}}}, 1)
	assert.Equal(t, res.Code, NoDocument)
}

func TestDocument(t *testing.T) {
	w := newFixture(t, 0)
	assert.Equal(t, w.apply(Command{Document: document(5)}).Code, OK)
	t.Run("a version that is not newer changes nothing", func(t *testing.T) {
		other := document(5)
		other.Text = []byte("other")
		for _, d := range []*Document{other, document(4)} {
			assert.Equal(t, w.apply(Command{Document: d}).Code, Stale)
		}
		assert.Equal(t, string(w.s.Document().Text), "document 5")
	})
	t.Run("an invalid document is refused", func(t *testing.T) {
		for name, spoil := range map[string]func(d *Document){
			"no version":       func(d *Document) { d.Version = 0 },
			"unknown service":  func(d *Document) { d.Queues[0].Service = "nobody" },
			"same place":       func(d *Document) { d.Queues[1].Prefix = d.Queues[0].Prefix },
			"same name":        func(d *Document) { d.Queues[1].Name = d.Queues[0].Name },
			"prefix no path":   func(d *Document) { d.Queues[0].Prefix = "holds" },
			"service twice":    func(d *Document) { d.Pools = append(d.Pools, d.Pools[0]) },
			"service nameless": func(d *Document) { d.Pools[0].Service = "" },
		} {
			d := document(9)
			spoil(d)
			assert.Equal(t, w.apply(Command{Document: d}).Code, Invalid, name)
		}
		assert.Equal(t, w.s.Document().Version, uint64(5))
	})
}

func TestStart(t *testing.T) {
	w := newFixture(t, 2)
	big := Step{Count: 2, Size: rudderfork.Resources{CPUMilli: 3000}}
	w.submit("j", big, Step{Count: 1, DependsOn: []int{0}}, Step{Count: 1, Label: "gpu"}, Step{Count: 2, MaxPerVM: 1}, Step{Count: 1, Filler: true, Size: rudderfork.Resources{CPUMilli: 9000, MemoryMB: 10}})
	assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(1))
	assert.Equal(t, w.status("j"), Running)
	for name, st := range map[string]Start{
		"it has a run":                {Task: key("j", 0, 0), VM: "vm2", Incarnation: "life-1"},
		"the VM is full":              {Task: key("j", 0, 1), VM: "vm1", Incarnation: "life-1"},
		"the incarnation is another":  {Task: key("j", 0, 1), VM: "vm2", Incarnation: "life-0"},
		"the VM is unknown":           {Task: key("j", 0, 1), VM: "vm9", Incarnation: "life-1"},
		"an earlier step is not done": {Task: key("j", 1, 0), VM: "vm2", Incarnation: "life-1"},
		"the VM lacks a label":        {Task: key("j", 2, 0), VM: "vm2", Incarnation: "life-1"},
		"there is no such task":       {Task: key("j", 0, 7), VM: "vm2", Incarnation: "life-1"},
		"there is no such job":        {Task: key("k", 0, 0), VM: "vm2", Incarnation: "life-1"},
		"copies are not allowed":      {Task: key("j", 0, 0), VM: "vm2", Incarnation: "life-1", Copy: true},
	} {
		t.Run("refused since "+name, func(t *testing.T) {
			assert.Equal(t, w.apply(Command{Starts: []Start{st}}).Numbers[0], uint32(0))
		})
	}
	t.Run("a VM runs at most MaxPerVM tasks of a step", func(t *testing.T) {
		assert.Equal(t, w.start(key("j", 3, 0), "vm1"), uint32(1))
		assert.Equal(t, w.start(key("j", 3, 1), "vm1"), uint32(0))
		assert.Equal(t, w.start(key("j", 3, 1), "vm2"), uint32(1))
	})
	t.Run("a filler reserves no processors", func(t *testing.T) {
		assert.Equal(t, w.start(key("j", 4, 0), "vm1"), uint32(1))
	})
	t.Run("a run that is being stopped takes capacity until its end is known", func(t *testing.T) {
		w.apply(Command{Cancel: &Cancel{Host: testHost, Path: "/holds/j"}})
		w.submit("k", big)
		assert.Equal(t, w.start(key("k", 0, 0), "vm1"), uint32(0))
		assert.Assert(t, w.end(key("j", 0, 0), "vm1", 1, OutcomeStopped))
		assert.Equal(t, w.start(key("k", 0, 0), "vm1"), uint32(1))
	})
}

func TestGang(t *testing.T) {
	w := newFixture(t, 2)
	gang := Step{Count: 3, Gang: true, Checkpoints: true, Size: rudderfork.Resources{CPUMilli: 2000}}
	w.submit("g", gang)
	together := func(vms ...rudderfork.VMID) []uint32 {
		var starts []Start
		for i, vm := range vms {
			starts = append(starts, Start{Task: key("g", 0, i), VM: vm, Incarnation: "life-1", Group: 1})
		}
		return w.apply(Command{Starts: starts}).Numbers
	}
	t.Run("all start under one number or none does", func(t *testing.T) {
		assert.DeepEqual(t, together("vm1", "vm1", "vm1"), []uint32{0, 0, 0})
		assert.Equal(t, w.s.Job("g").ActiveRuns, 0)
		assert.DeepEqual(t, together("vm1", "vm1", "vm2"), []uint32{1, 1, 1})
	})
	t.Run("a checkpoint of one member applies to all", func(t *testing.T) {
		w.apply(Command{Ends: &Ends{VM: "vm1", Incarnation: "life-1", List: []End{
			{Task: key("g", 0, 0), Run: 1, Outcome: OutcomeFailed, Checkpoint: "half"}, {Task: key("g", 0, 1), Run: 1, Outcome: OutcomeGangBroken},
		}}})
		w.end(key("g", 0, 2), "vm2", 1, OutcomeGangBroken)
		for i := range 3 {
			assert.Equal(t, w.s.Job("g").Task(key("g", 0, i)).Checkpoint, "half")
		}
	})
	t.Run("one member that is done completes all", func(t *testing.T) {
		assert.DeepEqual(t, together("vm1", "vm1", "vm2"), []uint32{2, 2, 2})
		w.end(key("g", 0, 1), "vm1", 2, OutcomeDone)
		assert.Equal(t, w.status("g"), Completed)
	})
}

func TestEnds(t *testing.T) {
	t.Run("a task that is done stays done", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("j", one)
		w.start(key("j", 0, 0), "vm1")
		assert.Assert(t, w.end(key("j", 0, 0), "vm1", 1, OutcomeDone))
		assert.Assert(t, !w.end(key("j", 0, 0), "vm1", 1, OutcomeDone))
		assert.Equal(t, w.status("j"), Completed)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
	})
	t.Run("only failures count as attempts", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("j", one)
		for run, outcome := range []Outcome{OutcomeRefused, OutcomeLeaseExpired, OutcomeStopped, OutcomeLost, OutcomeFailed, OutcomeGangIncomplete, OutcomeFailed} {
			assert.Equal(t, w.status("j") == Failed, false)
			assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(run+1))
			w.end(key("j", 0, 0), "vm1", uint32(run+1), outcome)
		}
		assert.Equal(t, w.status("j"), Failed)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
	})
	t.Run("a lasting task starts again whatever its outcome", func(t *testing.T) {
		w := newFixture(t, 1)
		lasting := one
		lasting.Lasting = true
		w.submit("j", lasting)
		for run := range uint32(5) {
			assert.Equal(t, w.start(key("j", 0, 0), "vm1"), run+1)
			w.end(key("j", 0, 0), "vm1", run+1, OutcomeFailed)
		}
		assert.Equal(t, w.status("j"), Running)
	})
	t.Run("an end of another run or incarnation is not accepted", func(t *testing.T) {
		w := newFixture(t, 2)
		w.submit("j", one)
		w.start(key("j", 0, 0), "vm1")
		assert.Assert(t, !w.end(key("j", 0, 0), "vm1", 2, OutcomeDone))
		assert.Assert(t, !w.end(key("j", 0, 0), "vm2", 1, OutcomeDone))
		res := w.apply(Command{Ends: &Ends{VM: "vm1", Incarnation: "life-0", List: []End{{Task: key("j", 0, 0), Run: 1, Outcome: OutcomeDone}}}})
		assert.Assert(t, !res.Accepted[0])
	})
	t.Run("checkpoints are kept if the step has them", func(t *testing.T) {
		w := newFixture(t, 1)
		saving := one
		saving.Checkpoints = true
		w.submit("j", saving, one)
		for step, want := range []string{"c1", ""} {
			w.start(key("j", step, 0), "vm1")
			w.apply(Command{Ends: &Ends{VM: "vm1", Incarnation: "life-1", List: []End{{Task: key("j", step, 0), Run: 1, Outcome: OutcomeLeaseExpired, Checkpoint: "c1"}}}})
			assert.Equal(t, w.s.Job("j").Task(key("j", step, 0)).Checkpoint, want)
		}
	})
}

func TestCancel(t *testing.T) {
	w := newFixture(t, 1)
	w.submit("j", one)
	cancel := func(id string) Code {
		return w.apply(Command{Cancel: &Cancel{Host: testHost, Path: "/holds/" + id}}).Code
	}
	assert.Equal(t, cancel("j"), OK)
	assert.Equal(t, cancel("j"), OK)
	assert.Equal(t, w.status("j"), Cancelled)
	assert.Equal(t, cancel("unknown"), NoJob)
	assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
	t.Run("a completed job stays completed", func(t *testing.T) {
		w.submit("k", one)
		w.start(key("k", 0, 0), "vm1")
		w.end(key("k", 0, 0), "vm1", 1, OutcomeDone)
		assert.Equal(t, cancel("k"), OK)
		assert.Equal(t, w.status("k"), Completed)
	})
}

func TestVMIncarnations(t *testing.T) {
	w := newFixture(t, 1)
	saving := one
	saving.Checkpoints = true
	w.submit("j", saving)
	w.start(key("j", 0, 0), "vm1")
	epoch := w.s.VM("vm1").Epoch
	t.Run("the same incarnation again changes nothing", func(t *testing.T) {
		w.register("vm1", "life-1")
		assert.Equal(t, w.s.VM("vm1").Epoch, epoch)
		assert.Equal(t, w.s.Job("j").ActiveRuns, 1)
	})
	t.Run("a lost VM runs nothing and accepts nothing until it registers", func(t *testing.T) {
		w.apply(Command{Lost: &VMLoss{VM: "vm1", Incarnation: "life-1", Checkpoints: map[TaskKey]string{key("j", 0, 0): "c"}}})
		assert.Equal(t, w.s.Job("j").Task(key("j", 0, 0)).Checkpoint, "c")
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
		w.register("vm1", "life-1")
		assert.Equal(t, w.s.VM("vm1").Epoch, epoch+1)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(2))
	})
	t.Run("a loss of an earlier incarnation is not accepted", func(t *testing.T) {
		assert.Equal(t, w.apply(Command{Lost: &VMLoss{VM: "vm1", Incarnation: "life-0"}}).Code, Stale)
		assert.Equal(t, w.s.Job("j").ActiveRuns, 1)
	})
	t.Run("a new incarnation runs nothing", func(t *testing.T) {
		w.register("vm1", "life-2")
		assert.Equal(t, w.s.Job("j").ActiveRuns, 0)
		assert.Equal(t, w.s.VM("vm1").Epoch, epoch+2)
	})
}

func TestRepeats(t *testing.T) {
	w := newFixture(t, 1)
	spec := Spec{Steps: []Step{one}, Repeat: &Repeat{Count: 2, FirstMS: 5000, EveryMS: 1000}}
	w.apply(Command{Submit: &Submit{Host: testHost, Path: "/holds/r", Spec: spec, KeepMS: hour}})
	assert.Equal(t, w.start(TaskKey{Job: "r"}, "vm1"), uint32(0))
	w.n = 5000
	assert.Equal(t, w.start(TaskKey{Job: "r"}, "vm1"), uint32(1))
	assert.Equal(t, w.start(TaskKey{Job: "r", Occurrence: 1}, "vm1"), uint32(0))
	w.n = 6000
	assert.Equal(t, w.start(TaskKey{Job: "r", Occurrence: 1}, "vm1"), uint32(1))
	w.end(TaskKey{Job: "r"}, "vm1", 1, OutcomeDone)
	assert.Equal(t, w.status("r"), Running)
	w.end(TaskKey{Job: "r", Occurrence: 1}, "vm1", 1, OutcomeDone)
	assert.Equal(t, w.status("r"), Completed)
}

// pass advances the clock by ms while a leader proposes commands at intervals of at most maxTickMS.
func (w *fixture) pass(ms int64) {
	for end := w.n + ms; w.n < end; {
		w.n += min(maxTickMS-1, end-w.n-1)
		w.apply(Command{Ends: &Ends{VM: "unknown"}})
	}
}

func TestForget(t *testing.T) {
	w := newFixture(t, 1)
	w.submit("old", one)
	w.apply(Command{Cancel: &Cancel{Host: testHost, Path: "/holds/old"}})
	w.pass(hour - 100)
	w.submit("next", one)
	assert.Assert(t, w.s.Job("old") != nil)
	w.pass(200)
	w.submit("last", one)
	assert.Assert(t, w.s.Job("old") == nil)
}

func TestWaiting(t *testing.T) {
	w := newFixture(t, 1)
	w.submit("a", one)
	w.submit("b", one)
	w.submit("rosters/c", one)
	w.start(key("a", 0, 0), "vm1")
	count := func(begun ...rudderfork.JobID) (list [3]int) {
		known := func(id rudderfork.JobID) bool { return slices.Contains(begun, id) }
		list[0], list[1] = w.s.Waiting("holds", known)
		list[2], _ = w.s.Waiting("rosters", known)
		return list
	}
	assert.Equal(t, count(), [3]int{2, 1, 1})
	assert.Equal(t, count("a"), [3]int{1, 0, 1})
	w.apply(Command{Starts: []Start{{Task: key("b", 0, 0), VM: "vm1", Incarnation: firstIncarnation}}, Begun: []rudderfork.JobID{"a", "none"}})
	assert.Equal(t, count(), [3]int{1, 1, 1})
	w.end(key("b", 0, 0), "vm1", 1, OutcomeFailed)
	assert.Equal(t, count(), [3]int{0, 0, 1})
}

// TestSnapshot checks that a restored state continues like the original.
func TestSnapshot(t *testing.T) {
	w := newFixture(t, 2)
	w.submit("j", Step{Count: 2, Size: rudderfork.Resources{CPUMilli: 1000}}, Step{Count: 1, DependsOn: []int{0}})
	w.submit("done", one)
	w.start(key("done", 0, 0), "vm2")
	w.end(key("done", 0, 0), "vm2", 1, OutcomeDone)
	w.start(key("j", 0, 0), "vm1")
	w.restore()
	checkInvariants(t, w.s)
	assert.Equal(t, w.status("done"), Completed)
	assert.Assert(t, w.end(key("j", 0, 0), "vm1", 1, OutcomeDone))
	assert.Equal(t, w.start(key("j", 0, 1), "vm2"), uint32(1))
	assert.Equal(t, string(w.s.Document().Text), "document 1")
}

func TestTaskKey(t *testing.T) {
	k := TaskKey{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1, Index: 17}
	got, err := ParseTaskKey(k.String())
	assert.NilError(t, err)
	assert.Equal(t, got, k)
	for _, bad := range []string{"", "a.b", "a.0.0.x", "a.0.0.0.0"} {
		_, err := ParseTaskKey(bad)
		assert.Assert(t, err != nil, bad)
	}
}
