package scheduler

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// newServingFleet returns a state in which serving tasks of one job run on vm1, and a leader's fleet
// without any heartbeat.
func newServingFleet(t *testing.T, tasks int) (qs *queue.State, f *fleet) {
	t.Helper()
	qs, f = stateWithRun(t), newFleet()
	step := queue.Step{Count: tasks, Lasting: true, TailMS: 18, Image: "audio"}
	submit := queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/feed", Spec: queue.Spec{Steps: []queue.Step{step}}}}
	assert.Equal(t, qs.Apply(submit, 1).Code, queue.OK)
	for i := range tasks {
		k := queue.TaskKey{Job: "feed", Index: i}
		qs.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: "vm1", Incarnation: "life-1"}}}, 1)
	}
	return qs, f
}

// reportTails delivers a heartbeat that reports the same tail latency, in ms, for all of the tasks.
func reportTails(qs *queue.State, f *fleet, tasks int, tail int64, at time.Time) {
	hb := wire.VMHeartbeat{VM: *qs.VM("vm1"), Measured: true}
	for i := range tasks {
		k := queue.TaskKey{Job: "feed", Index: i}
		hb.Runs = append(hb.Runs, rudderfork.RunStatus{RunRef: k.Ref(1), Percent: fullPercent, Load: tail})
	}
	v := f.vm("vm1")
	f.recordHeartbeat(v, hb, at)
	f.observeSwings(qs, workloadOf(qs, qs.VM("vm1"), v), v.heartbeat, at)
	f.updateForecasts(qs, v, at)
}

// TestHeadroomForecast checks that the planner gets a forecast of a fall or rise of a task's headroom
// once the load of its step has gone through a few periods.
func TestHeadroomForecast(t *testing.T) {
	const tasks, period, interval = 5, 10 * time.Second, 500 * time.Millisecond
	qs, f := newServingFleet(t, tasks)
	t0 := steady.Now()
	forecast := map[time.Duration]float64{}
	for at := time.Duration(0); at < 4*period; at += interval {
		headroom := 2.6 + 1.1*math.Cos(2*math.Pi*at.Seconds()/period.Seconds())
		reportTails(qs, f, tasks, int64(math.Round(18/headroom)), t0.Add(sampleDelay+at))
		forecast[at%period] = f.runs[queue.RunKey{TaskKey: queue.TaskKey{Job: "feed"}, Number: 1}].ForecastHeadroomChange
	}
	assert.Assert(t, forecast[period/10] < -0.5, "the headroom falls, forecast: %.2f", forecast[period/10])
	assert.Assert(t, forecast[period*7/10] > 0, "the headroom rises, forecast: %.2f", forecast[period*7/10])
	assert.Equal(t, f.countForecasts(), tasks)
	assertNoForecastForOthers(t, qs)
}

// assertNoForecastForOthers checks that tasks other than serving tasks have no forecast.
func assertNoForecastForOthers(t *testing.T, qs *queue.State) {
	t.Helper()
	f := newFleet()
	v := f.vm("vm1")
	f.recordHeartbeat(v, wire.VMHeartbeat{Runs: []rudderfork.RunStatus{{RunRef: queue.TaskKey{Job: "j"}.Ref(1), Percent: 10}}}, steady.Now())
	before := v.changes
	f.updateForecasts(qs, v, steady.Now())
	assert.Equal(t, v.changes, before)
}
