package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestWorkTimeIsAtFullSpeed checks that the work time of a run is the time that it would have taken
// at full speed.
func TestWorkTimeIsAtFullSpeed(t *testing.T) {
	key := queue.TaskKey{Job: "j"}
	done := queue.End{Task: key, Run: 1, Outcome: queue.OutcomeDone}
	at := time.Unix(1000, 0)
	sendStatus := func(f *fleet, after time.Duration, percent, pacedDown int) {
		f.recordHeartbeat(f.vm("vm1"), wire.VMHeartbeat{Runs: []rudderfork.RunStatus{{RunRef: key.Ref(1), Percent: percent, PacedDownPercent: pacedDown}}}, at.Add(after))
	}
	t.Run("time paced down counts in part, and the work before the first report is added", func(t *testing.T) {
		f := newFleet()
		sendStatus(f, 0, 20, 0)
		sendStatus(f, time.Second, 60, 50)
		assert.Equal(t, f.vm("vm1").totalWork(done, at.Add(3*time.Second)), 2000*100/80.0)
	})
	t.Run("a run never reported, or first reported when nearly done, has no work time", func(t *testing.T) {
		f := newFleet()
		assert.Equal(t, f.vm("vm1").totalWork(done, at), 0.0)
		sendStatus(f, 0, 90, 0)
		assert.Equal(t, f.vm("vm1").totalWork(done, at.Add(time.Second)), 0.0)
	})
	t.Run("the end of a first run changes the estimate of its queue", func(t *testing.T) {
		qs, f := stateWithRun(t), newFleet()
		step := &qs.Job("j").Spec.Steps[0]
		other := queue.StepKey{Job: "other"}
		before := f.workTimes.Estimate("q", other, step)
		qs.Apply(queue.Command{Ends: &queue.Ends{VM: "vm1", Incarnation: "life-1", List: []queue.End{done}}}, 2)
		f.observeWorkTime(qs, done, 4000, at)
		assert.Assert(t, f.workTimes.Estimate("q", other, step) > before)
	})
}
