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

// servingFleet is a state in which serving tasks of one job run on vm1, and what the
// leader has heard of them.
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

// hear has the leader hear of a tail of all of them.
func takeTails(qs *queue.State, f *fleet, tasks int, tail int64, at time.Time) {
	b := wire.VMHeartbeat{VM: *qs.VM("vm1"), Measured: true}
	for i := range tasks {
		k := queue.TaskKey{Job: "feed", Index: i}
		b.Rows = append(b.Rows, rudderfork.RunStatus{RunRef: k.Ref(1), Percent: fullPercent, Load: tail})
	}
	v := f.vm("vm1")
	f.recordHeartbeat(v, b, at)
	f.observeSwings(qs, workloadOf(qs, qs.VM("vm1"), v), v.heartbeat, at)
	f.updateForecasts(qs, v, at)
}

// TestHeadroomForecast holds that the planner is told that a headroom is about to fall, and that it
// rises, once the load of a step has gone round a few times.
func TestHeadroomForecast(t *testing.T) {
	const tasks, period, beat = 5, 10 * time.Second, 500 * time.Millisecond
	qs, f := newServingFleet(t, tasks)
	t0 := steady.Now()
	ahead := map[time.Duration]float64{}
	for at := time.Duration(0); at < 4*period; at += beat {
		headroom := 2.6 + 1.1*math.Cos(2*math.Pi*at.Seconds()/period.Seconds())
		takeTails(qs, f, tasks, int64(math.Round(18/headroom)), t0.Add(figureAge+at))
		ahead[at%period] = f.runs[queue.RunKey{TaskKey: queue.TaskKey{Job: "feed"}, Number: 1}].ForecastHeadroomChange
	}
	assert.Assert(t, ahead[period/10] < -0.5, "it falls: %.2f", ahead[period/10])
	assert.Assert(t, ahead[period*7/10] > 0, "it rises: %.2f", ahead[period*7/10])
	assert.Equal(t, f.forecasts(), tasks)
	assertNoForecastForFillers(t, qs)
}

// checkFiller holds that tasks that serve nobody have no forecast.
func assertNoForecastForFillers(t *testing.T, qs *queue.State) {
	t.Helper()
	f := newFleet()
	v := f.vm("vm1")
	f.recordHeartbeat(v, wire.VMHeartbeat{Rows: []rudderfork.RunStatus{{RunRef: queue.TaskKey{Job: "j"}.Ref(1), Percent: 10}}}, steady.Now())
	before := v.changes
	f.updateForecasts(qs, v, steady.Now())
	assert.Equal(t, v.changes, before)
}
