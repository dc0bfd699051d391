package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const host = "desk.example"

// fixture is a state with usable VMs of 4 cores, two to a rack.
type fixture struct {
	t         *testing.T
	s         *queue.State
	view      View
	origin    string                // of the jobs that are submitted
	pressures map[[2]string]float64 // by image of the serving task and image of the filler
}

func newFixture(t *testing.T, vms int) *fixture {
	w := &fixture{t: t, s: queue.New(), pressures: map[[2]string]float64{}, view: View{
		Now: 1000, VMs: map[rudderfork.VMID]VMView{}, Runs: map[queue.RunKey]RunView{}, FailedOn: map[queue.TaskKey][]rudderfork.VMID{},
	}}
	w.view.Pressure = func(serving, filler string) float64 { return w.pressures[[2]string{serving, filler}] }
	w.s.Apply(queue.Command{Document: &queue.Document{
		Version: 1,
		Queues: []queue.Queue{
			{Name: "urgent", Host: host, Prefix: "/urgent/", Service: "desk", MaxAttempts: 2, Stretch: 1.5, LatencyMS: 250},
			{Name: "later", Host: host, Prefix: "/later/", Service: "desk", Priority: 2, MaxAttempts: 2},
			{Name: "advised", Host: host, Prefix: "/advised/", Service: "desk", MaxAttempts: 2, Advice: &queue.Advice{}},
		},
		Pools: []queue.Pool{{Service: "desk"}},
	}}, 1)
	for i := range vms {
		w.addVM(i + 1)
	}
	return w
}

// addVM adds a VM; two share a rack.
func (w *fixture) addVM(n int) {
	id := rudderfork.VMID(fmt.Sprintf("vm%d", n))
	w.s.Apply(queue.Command{Register: &queue.VM{
		ID: id, Incarnation: "life", Service: "desk", Rack: fmt.Sprintf("rack%d", (n-1)/2+1),
		Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000}, Labels: []string{"a"},
	}}, 1)
	w.view.VMs[id] = VMView{Usable: true}
}

// submit submits a job and returns the key of its first task.
func (w *fixture) submit(queueName, id string, at int64, steps ...queue.Step) queue.TaskKey {
	w.t.Helper()
	return w.submitSpec(queueName, id, at, queue.Spec{Steps: steps})
}

func (w *fixture) submitSpec(queueName, id string, at int64, spec queue.Spec) queue.TaskKey {
	w.t.Helper()
	res := w.s.Apply(queue.Command{Submit: &queue.Submit{Host: host, Path: "/" + queueName + "/" + id, Spec: spec, KeepMS: 1 << 40, Origin: w.origin}}, at)
	assert.Equal(w.t, res.Code, queue.OK)
	return queue.TaskKey{Job: rudderfork.JobID(id)}
}

// startPlanned makes a plan with a new planner, applies its starts and returns their VMs by
// task.
func (w *fixture) startPlanned() map[string]rudderfork.VMID {
	w.t.Helper()
	plan := PlanOnce(w.s, w.view)
	places := map[string]rudderfork.VMID{}
	var c queue.Command
	for _, st := range plan.Starts {
		c.Starts = append(c.Starts, st.Start)
		places[st.Task.String()] = st.VM
		assert.Assert(w.t, st.Reason != "")
	}
	if len(c.Starts) == 0 {
		return places
	}
	for i, n := range w.s.Apply(c, w.view.Now).Numbers {
		assert.Assert(w.t, n > 0, "%v was planned, but the state refused it", c.Starts[i])
	}
	return places
}

func cpuStep(milli int64) queue.Step {
	return queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: milli}, ExpectedMS: 1000}
}

func servingStep(image string, milli int64) queue.Step {
	st := cpuStep(milli)
	st.Image, st.TailMS, st.Lasting = image, 18, true
	return st
}

func fillerStep(image string, milli int64) queue.Step {
	st := cpuStep(milli)
	st.Image, st.Filler = image, true
	return st
}

// objectiveOf returns the objective of a job of one step in the urgent queue, in ms.
func objectiveOf(w *fixture, st queue.Step) int64 {
	q, _ := w.s.Document().Queue("urgent")
	return ObjectiveMS(q, &queue.Job{Spec: queue.Spec{Steps: []queue.Step{st}}}, nil)
}

// TestJobOrder checks which jobs are started first where not all fit.
func TestJobOrder(t *testing.T) {
	t.Run("by priority, then by deadline", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("later", "a", 1, cpuStep(3000))
		w.submit("urgent", "c", 500, cpuStep(3000))
		w.submit("urgent", "b", 400, cpuStep(3000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"b.0.0.0": "vm1"})
	})
	t.Run("least remaining work first among jobs that can be in time", func(t *testing.T) {
		w := newFixture(t, 1)
		wide := cpuStep(3000)
		wide.Count = 2
		w.submit("urgent", "wide", 1, wide)
		w.submit("urgent", "narrow", 500, cpuStep(3000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"narrow.0.0.0": "vm1"})
	})
	t.Run("least remaining work first among late jobs; worthless jobs by age", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			age    int64 // as a multiple of the objective
			expect string
		}{{"late", 2, "narrow.0.0.0"}, {"worthless", 5, "wide.0.0.0"}} {
			t.Run(c.name, func(t *testing.T) {
				w := newFixture(t, 1)
				w.view.Now = 600_000
				wide := cpuStep(3000)
				wide.Count = 2
				w.submit("urgent", "wide", w.view.Now-c.age*objectiveOf(w, wide)-1, wide)
				w.submit("urgent", "narrow", w.view.Now-c.age*objectiveOf(w, cpuStep(3000)), cpuStep(3000))
				assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{c.expect: "vm1"})
			})
		}
	})
	t.Run("worthless jobs last", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("urgent", "old", 1, cpuStep(3000))
		w.view.Now = 100_000
		w.submit("later", "new", 99_000, cpuStep(3000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"new.0.0.0": "vm1"})
	})
	t.Run("jobs that can be in time before late ones", func(t *testing.T) {
		w := newFixture(t, 1)
		w.view.Now = 60_000
		w.submit("urgent", "late", w.view.Now-2*objectiveOf(w, cpuStep(3000)), cpuStep(3000))
		w.submit("urgent", "fresh", w.view.Now, cpuStep(3000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"fresh.0.0.0": "vm1"})
	})
	t.Run("a repeated job by its due occurrence, not by its first", func(t *testing.T) {
		w := newFixture(t, 1)
		now := int64(600_000)
		w.view.Now = now
		w.submitSpec("urgent", "hourly", 1, queue.Spec{
			Steps: []queue.Step{cpuStep(3000)}, Repeat: &queue.Repeat{Count: 3, FirstMS: now - 5, EveryMS: now},
		})
		w.submit("urgent", "fresh", now, cpuStep(3000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"hourly.0.0.0": "vm1"})
	})
	t.Run("steps in order of their dependencies", func(t *testing.T) {
		w := newFixture(t, 1)
		second := cpuStep(100)
		second.DependsOn = []int{0}
		w.submit("urgent", "j", 1, cpuStep(100), second)
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"j.0.0.0": "vm1"})
	})
}

func TestObjectiveMS(t *testing.T) {
	a, b, c := cpuStep(1), cpuStep(1), cpuStep(1)
	b.DependsOn, c.DependsOn, c.ExpectedMS = []int{0}, []int{0}, 3000
	j := &queue.Job{Spec: queue.Spec{Steps: []queue.Step{a, b, c}}}
	assert.Equal(t, ObjectiveMS(queue.Queue{Stretch: 1.5, LatencyMS: 250}, j, nil), int64(6250))
}

// TestVMChoice checks on which VMs tasks start.
func TestVMChoice(t *testing.T) {
	t.Run("tasks are spread over equal VMs", func(t *testing.T) {
		w := newFixture(t, 2)
		two := cpuStep(1000)
		two.Count = 2
		w.submit("urgent", "j", 1, two)
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"j.0.0.0": "vm1", "j.0.0.1": "vm2"})
	})
	t.Run("in the rack of the data", func(t *testing.T) {
		w := newFixture(t, 4)
		st := cpuStep(1000)
		st.DataRack = "rack2"
		w.submit("urgent", "j", 1, st)
		assert.Equal(t, w.startPlanned()["j.0.0.0"], rudderfork.VMID("vm3"))
	})
	t.Run("never on a VM that may not be given work", func(t *testing.T) {
		w := newFixture(t, 4)
		w.view.VMs["vm1"] = VMView{}
		w.view.VMs["vm2"] = VMView{Usable: true, Draining: true}
		w.view.VMs["vm3"] = VMView{Usable: true, CordonedForUpkeep: true}
		two := cpuStep(1000)
		two.Count, two.MaxPerVM = 2, 1
		w.submit("urgent", "j", 1, two)
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"j.0.0.0": "vm4"})
	})
	t.Run("preferably not where this task or others have failed", func(t *testing.T) {
		w := newFixture(t, 3)
		w.view.VMs["vm2"] = VMView{Usable: true, FailureScore: 1}
		k := w.submit("urgent", "j", 1, cpuStep(1000))
		w.view.FailedOn[k] = []rudderfork.VMID{"vm1"}
		assert.Equal(t, w.startPlanned()["j.0.0.0"], rudderfork.VMID("vm3"))
	})
	t.Run("a refused task not before the end of its back-off", func(t *testing.T) {
		w := newFixture(t, 1)
		k := w.submit("urgent", "j", 1, cpuStep(1000))
		w.view.BackOffUntil = map[queue.TaskKey]int64{k: 2000}
		assert.Equal(t, len(w.startPlanned()), 0)
		w.view.Now = 2000
		assert.Equal(t, len(w.startPlanned()), 1)
	})
	t.Run("no more in one plan than fits", func(t *testing.T) {
		w := newFixture(t, 2)
		many := cpuStep(1500)
		many.Count = 9
		w.submit("urgent", "j", 1, many)
		assert.Equal(t, len(w.startPlanned()), 4)
	})
}

// TestGangs checks that the tasks of a gang start together, and in one rack if they should.
func TestGangs(t *testing.T) {
	gang := cpuStep(2000)
	gang.Count, gang.Gang = 4, true
	t.Run("all or none", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("urgent", "g", 1, gang)
		w.submit("later", "j", 1, cpuStep(4000))
		assert.DeepEqual(t, w.startPlanned(), map[string]rudderfork.VMID{"j.0.0.0": "vm1"})
	})
	t.Run("in one rack if requested and possible", func(t *testing.T) {
		w := newFixture(t, 4)
		tight := gang
		tight.SameRack = true
		w.submit("urgent", "first", 1, cpuStep(1000))
		w.startPlanned()
		w.submit("urgent", "g", 1, tight)
		for task, vm := range w.startPlanned() {
			assert.Assert(t, vm == "vm3" || vm == "vm4", "%s is on %s", task, vm)
		}
	})
}

func TestAdvisedStepNeedsTicket(t *testing.T) {
	w := newFixture(t, 3)
	k := w.submit("advised", "j", 1, cpuStep(1000))
	plan := PlanOnce(w.s, w.view)
	assert.Equal(t, len(plan.Starts), 0)
	assert.Equal(t, len(plan.AdviceRequests), 1)
	assert.Equal(t, len(plan.AdviceRequests[0].VMs), 3)
	w.view.Tickets = map[queue.StepKey]map[rudderfork.VMID]string{k.StepKey(): {"vm2": "leave"}}
	plan = PlanOnce(w.s, w.view)
	assert.Equal(t, plan.Starts[0].VM, rudderfork.VMID("vm2"))
	assert.Equal(t, plan.Starts[0].Ticket, "leave")
}

// TestColocation checks which serving tasks and fillers are started on the same VM, and which
// fillers wait.
func TestColocation(t *testing.T) {
	t.Run("serving tasks of one image share a VM", func(t *testing.T) {
		w := newFixture(t, 3)
		for i, image := range []string{"audio", "video", "audio", "video"} {
			w.submit("urgent", fmt.Sprintf("s%d", i), int64(i+1), servingStep(image, 1000))
		}
		p := w.startPlanned()
		assert.Equal(t, p["s0.0.0.0"], p["s2.0.0.0"])
		assert.Equal(t, p["s1.0.0.0"], p["s3.0.0.0"])
		assert.Assert(t, p["s0.0.0.0"] != p["s1.0.0.0"])
	})
	t.Run("a filler starts where it reduces no headroom", func(t *testing.T) {
		w := newFixture(t, 2)
		w.submit("urgent", "s0", 1, servingStep("audio", 3000))
		w.submit("urgent", "s1", 2, servingStep("video", 3000))
		places := w.startPlanned()
		w.pressures[[2]string{"audio", "loud"}] = 30
		w.submit("later", "f", 3, fillerStep("loud", 500))
		assert.Equal(t, w.startPlanned()["f.0.0.0"], places["s1.0.0.0"])
	})
	t.Run("a filler leaves serving tasks beside it placementHeadroom", func(t *testing.T) {
		w := newFixture(t, 1)
		s := w.submit("urgent", "s", 1, servingStep("audio", 1000))
		w.startPlanned()
		w.pressures[[2]string{"audio", "loud"}] = 4 // reduces a headroom by 0.5
		two := fillerStep("loud", 500)
		two.Count = 2
		w.submit("later", "f", w.view.Now, two)
		beside := func(headroom float64) int {
			w.view.Runs[s.Run(1)] = RunView{Percent: 100, Load: int64(1000 * 18 / headroom)}
			w.s.Job("s").Spec.Steps[0].TailMS = 18_000 // makes headrooms fine-grained
			return len(PlanOnce(w.s, w.view).Starts)
		}
		assert.Equal(t, beside(placementHeadroom+0.3), 0)
		assert.Equal(t, beside(placementHeadroom+0.6), 1)
		assert.Equal(t, beside(placementHeadroom+1.1), 2)
	})
	t.Run("fillers that would be slow wait while their job has other runs", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("urgent", "s", 1, servingStep("audio", 3000))
		w.startPlanned()
		w.pressures[[2]string{"audio", "loud"}] = 30
		many := fillerStep("loud", 500)
		many.Count = 3
		w.submit("later", "f", 900, many)
		assert.Equal(t, len(w.startPlanned()), 0)
		w.view.Now += maxSlowWaitMS
		assert.Equal(t, len(w.startPlanned()), 1, "one starts after maxSlowWaitMS")
		assert.Equal(t, len(w.startPlanned()), 0)
	})
}

// progress advances the clock by minWatchMS and then reports the first runs of a step's
// tasks, with their progress in percent by index. Their first reports were without progress.
func (w *fixture) progress(k queue.TaskKey, percents ...int) {
	first := w.view.Now
	w.view.Now += minWatchMS
	for i, percent := range percents {
		k.Index = i
		w.view.Runs[k.Run(1)] = RunView{Percent: percent, FirstSeenAt: first, ProgressedAt: w.view.Now}
	}
}

func TestSpeculativeCopies(t *testing.T) {
	speculative := cpuStep(4000)
	speculative.Speculative, speculative.Count = true, 3
	// begun returns a fixture with a step running on three VMs, and a free fourth VM.
	begun := func(t *testing.T, st queue.Step) (w *fixture, k queue.TaskKey) {
		w = newFixture(t, 3)
		k = w.submit("urgent", "j", 1, st)
		assert.Equal(t, len(w.startPlanned()), 3)
		w.addVM(4)
		w.progress(k, 50, 50, 50)
		return w, k
	}
	for _, c := range []struct {
		name   string
		change func(w *fixture, k queue.TaskKey)
		copied bool
	}{
		{"none while all runs make progress", func(*fixture, queue.TaskKey) {}, false},
		{"the VM does not answer", func(w *fixture, _ queue.TaskKey) { w.view.VMs["vm1"] = VMView{} }, true},
		{"its start was not reported", func(w *fixture, k queue.TaskKey) {
			w.progress(k, 60, 70, 70)
			delete(w.view.Runs, k.Run(1))
		}, true},
		{"it makes no progress", func(w *fixture, k queue.TaskKey) {
			stalled := w.view.Runs[k.Run(1)]
			w.progress(k, 60, 70, 70)
			w.view.Now++
			w.view.Runs[k.Run(1)] = stalled
		}, true},
		{"it lags behind its siblings", func(w *fixture, k queue.TaskKey) { w.progress(k, 20, 80, 80) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, k := begun(t, speculative)
			c.change(w, k)
			places := w.startPlanned()
			assert.Equal(t, places["j.0.0.0"] == "vm4", c.copied)
			assert.Equal(t, len(w.s.Job("j").Task(k).Runs) == 2, c.copied)
			assert.Equal(t, len(w.startPlanned()), 0, "two are enough")
		})
	}
	t.Run("never if the step does not allow it", func(t *testing.T) {
		plain := speculative
		plain.Speculative = false
		w, _ := begun(t, plain)
		w.view.VMs["vm1"] = VMView{}
		assert.Equal(t, len(w.startPlanned()), 0)
	})
	t.Run("the other run is stopped when one is done", func(t *testing.T) {
		w, k := begun(t, speculative)
		w.progress(k, 20, 80, 80)
		w.startPlanned()
		w.s.Apply(queue.Command{Ends: &queue.Ends{VM: "vm4", Incarnation: "life", List: []queue.End{{Task: k, Run: 2, Outcome: queue.OutcomeDone}}}}, w.view.Now)
		assert.DeepEqual(t, stops(w), map[string]string{"j.0.0.0": "another run has done the task"})
	})
}

// stops returns the reasons of a plan's stops by task.
func stops(w *fixture) map[string]string {
	m := map[string]string{}
	for _, st := range PlanOnce(w.s, w.view).Stops {
		m[st.Task.String()] = st.Reason
	}
	return m
}

// TestStops checks which runs are stopped, and for which reasons.
func TestStops(t *testing.T) {
	t.Run("runs of a cancelled job", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("urgent", "j", 1, cpuStep(1000))
		w.startPlanned()
		assert.Equal(t, len(stops(w)), 0)
		w.s.Apply(queue.Command{Cancel: &queue.Cancel{Host: host, Path: "/urgent/j"}}, 2)
		assert.DeepEqual(t, stops(w), map[string]string{"j.0.0.0": "the job is cancelled"})
	})
	t.Run("a lasting task on a draining VM, and no other", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("urgent", "s", 1, servingStep("audio", 1000))
		w.submit("urgent", "j", 1, cpuStep(1000))
		w.startPlanned()
		w.view.VMs["vm1"] = VMView{Usable: true, Draining: true}
		assert.DeepEqual(t, stops(w), map[string]string{"s.0.0.0": "the VM is about to leave"})
	})
	t.Run("a task without progress", func(t *testing.T) {
		w := newFixture(t, 1)
		k := w.submit("urgent", "j", 1, cpuStep(1000))
		w.startPlanned()
		w.view.Runs[k.Run(1)] = RunView{Percent: 40, ProgressedAt: w.view.Now}
		assert.Equal(t, len(stops(w)), 0)
		w.view.Now += stallMS + 1
		assert.DeepEqual(t, stops(w), map[string]string{"j.0.0.0": ReasonStalled})
	})
	t.Run("a lasting task only if it never finished its startup", func(t *testing.T) {
		w := newFixture(t, 1)
		k := w.submit("urgent", "s", 1, servingStep("audio", 1000))
		w.startPlanned()
		w.view.Runs[k.Run(1)] = RunView{Percent: 100, ProgressedAt: 0}
		w.view.Now += 10 * startupMS
		assert.Equal(t, len(stops(w)), 0)
		w.view.Runs[k.Run(1)] = RunView{Percent: 20, ProgressedAt: 0}
		assert.DeepEqual(t, stops(w), map[string]string{"s.0.0.0": ReasonStalled})
	})
	t.Run("a task that lags behind its siblings, only once", func(t *testing.T) {
		w := newFixture(t, 3)
		st := cpuStep(4000)
		st.Count = 3
		k := w.submit("urgent", "j", 1, st)
		w.startPlanned()
		w.progress(k, 10, 80, 90)
		assert.Equal(t, len(stops(w)), 0, "there is no other VM")
		w.addVM(4)
		assert.DeepEqual(t, stops(w), map[string]string{"j.0.0.0": ReasonSlow})
		w.view.FailedOn[k] = []rudderfork.VMID{"vm1"}
		assert.Equal(t, len(stops(w)), 0, "it was slow elsewhere too")
		delete(w.view.FailedOn, k)
		w.progress(k, 60, 80, 90)
		assert.Equal(t, len(stops(w)), 0, "it is about as fast as its siblings")
		w.progress(k, 10, 12, 14)
		assert.Equal(t, len(stops(w)), 0, "all of them are slow")
	})
	t.Run("a task whose siblings were done long ago", func(t *testing.T) {
		w := newFixture(t, 3)
		st := cpuStep(4000)
		st.Count = 3
		k := w.submit("urgent", "j", 1, st)
		w.startPlanned()
		for i := 1; i < 3; i++ {
			other := k
			other.Index = i
			w.s.Apply(queue.Command{Ends: &queue.Ends{
				VM: rudderfork.VMID(fmt.Sprintf("vm%d", i+1)), Incarnation: "life", List: []queue.End{{Task: other, Run: 1, Outcome: queue.OutcomeDone}},
			}}, w.view.Now+500)
		}
		w.progress(k, 20)
		assert.DeepEqual(t, stops(w), map[string]string{"j.0.0.0": ReasonSlow})
	})
	t.Run("a filler that is paced down, if it would be faster elsewhere", func(t *testing.T) {
		w := newFixture(t, 2)
		w.submit("urgent", "s", 1, servingStep("audio", 3000))
		w.startPlanned()
		w.view.VMs["vm2"] = VMView{}
		k := w.submit("later", "f", 1, fillerStep("loud", 500))
		w.startPlanned()
		w.pressures[[2]string{"audio", "loud"}] = 30
		w.view.Now += 10_000
		w.view.Runs[k.Run(1)] = RunView{Percent: 5, ProgressedAt: w.view.Now, PacedDownPercent: 100, PacedDownSince: 1}
		assert.Equal(t, len(stops(w)), 0, "no other VM can take it")
		w.view.VMs["vm2"] = VMView{Usable: true}
		assert.DeepEqual(t, stops(w), map[string]string{"f.0.0.0": ReasonPacedDown})
		w.view.Runs[k.Run(1)] = RunView{Percent: 60, ProgressedAt: w.view.Now, PacedDownPercent: 100, PacedDownSince: 1}
		assert.Equal(t, len(stops(w)), 0, "it would lose too much progress")
	})
}

// TestNoStartInEvacuatedDomain checks that nothing is planned in an evacuated failure
// domain and that the explanation names the reason.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	w := newFixture(t, 2)
	vm := *w.s.VM("vm1")
	vm.Domain = "north"
	w.s.Apply(queue.Command{Register: &vm}, w.view.Now)
	w.s.Apply(queue.Command{Evacuate: &queue.Evacuate{Domain: "north"}}, w.view.Now)
	k := w.submit("urgent", "j", 1000, queue.Step{Count: 4, Size: rudderfork.Resources{CPUMilli: 100}})
	for _, on := range w.startPlanned() {
		assert.Equal(t, on, rudderfork.VMID("vm2"))
	}
	why := NewPlanner().Explain(w.s, w.view, w.s.Job(k.Job)).RejectReasons(k)
	assert.Equal(t, why["vm1"], "its failure domain is evacuated")
}

// TestWorkTimeEstimatesOrderJobs checks that jobs are ordered by estimated work times
// rather than by the submitters' estimates, and that a reused planner reads them again.
func TestWorkTimeEstimatesOrderJobs(t *testing.T) {
	w := newFixture(t, 1)
	whole := queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 4000}}
	long, short := whole, whole
	long.ExpectedMS, short.ExpectedMS = 100, 2000
	w.submit("later", "long", 1000, long)
	w.submit("later", "short", 1000, short)
	pl := NewPlanner()
	first := func() rudderfork.JobID {
		plan := pl.Plan(w.s, w.view)
		assert.Equal(t, len(plan.Starts), 1)
		return plan.Starts[0].Task.Job
	}
	assert.Equal(t, first(), rudderfork.JobID("long"), "by submitters' estimates")
	w.view.WorkTime = func(_ string, k queue.StepKey, _ *queue.Step) float64 {
		return map[rudderfork.JobID]float64{"long": 3000, "short": 500}[k.Job]
	}
	w.view.WorkTimeVersion++
	assert.Equal(t, first(), rudderfork.JobID("short"), "by estimated work times")
}

// TestForecastGuidesFillers guards against starting a filler beside a serving task whose
// measured headroom is larger than that of another but about to shrink.
func TestForecastGuidesFillers(t *testing.T) {
	w := newFixture(t, 2)
	w.pressures[[2]string{"audio", "roster"}] = 8
	for i, change := range []float64{-1.2, 0.1} {
		k := w.submit("urgent", fmt.Sprintf("feed%d", i), 1000, servingStep("audio", 1000))
		vm := rudderfork.VMID(fmt.Sprintf("vm%d", i+1))
		w.s.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: vm, Incarnation: "life"}}}, 1000)
		w.view.Runs[k.Run(1)] = RunView{Percent: 100, Load: int64(6 + i), ForecastHeadroomChange: change}
	}
	k := w.submit("later", "roster", 1000, fillerStep("roster", 400))
	assert.Equal(t, w.startPlanned()[k.String()], rudderfork.VMID("vm2"))
}
