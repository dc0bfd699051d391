package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/learned"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	servedJobs, servedTasks, servedVMs = 12, 8, 8 // one serving step a job
	servedPeriod                       = 11 * time.Second
	fillerPressure                     = 6.0
	heartbeatInterval                  = 500 * time.Millisecond
)

// servedLoad is a simulated load in virtual time: serving jobs whose headrooms swing, each with a
// phase of its own, beside fillers. Its VMs send heartbeats to the leader.
type servedLoad struct {
	t   testing.TB
	qs  *queue.State
	f   *fleet // the leader's
	rng *rand.Rand
	now time.Time
}

func newServedLoad(t testing.TB) *servedLoad {
	l := &servedLoad{t: t, qs: stateWithRun(t), f: newFleet(), rng: rand.New(rand.NewPCG(5, 7)), now: time.Unix(1_000_000, 0)}
	for i := range servedVMs {
		l.apply(queue.Command{Register: &queue.VM{ID: servedVM(i), Domain: "north", Incarnation: "life-1", Service: "desk"}})
	}
	for job := range servedJobs {
		step := queue.Step{Count: servedTasks, Lasting: true, TailMS: 1800, Image: "audio"}
		l.apply(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/" + string(servedJob(job)), Spec: queue.Spec{Steps: []queue.Step{step}}}})
		for i := range servedTasks {
			k := queue.TaskKey{Job: servedJob(job), Index: i}
			l.apply(queue.Command{Starts: []queue.Start{{Task: k, VM: servedVM(i), Incarnation: "life-1"}}})
		}
	}
	return l
}

func servedVM(i int) rudderfork.VMID   { return rudderfork.VMID(fmt.Sprint("served", i)) }
func servedJob(i int) rudderfork.JobID { return rudderfork.JobID(fmt.Sprint("feed", i)) }
func (l *servedLoad) apply(c queue.Command) {
	l.t.Helper()
	assert.Equal(l.t, l.qs.Apply(c, rudderfork.Millis(l.now)).Code, queue.OK)
}

// headroom returns the headroom of a job's tasks at a time without fillers.
func headroom(job int, at time.Time) float64 {
	turns := float64(at.UnixMilli())/float64(servedPeriod.Milliseconds()) + float64(job)/servedJobs
	return 2.3 + 0.9*math.Sin(2*math.Pi*turns)
}

// run lets the leader observe the load for a span. skew is how far its clock is ahead.
func (l *servedLoad) run(span, skew time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); l.now = l.now.Add(heartbeatInterval) {
		for i := range servedVMs {
			l.heartbeat(i, l.now.Add(skew))
		}
		l.f.shortDemand.Observe(dispatch.ShortTasks{Running: 30, CPUMilli: 12_000}, rudderfork.Millis(l.now.Add(skew)))
		st := queue.Step{Count: 1, ExpectedMS: 1000}
		l.f.workTimes.Observe("q", queue.StepKey{Job: "j"}, &st, 3000, l.now.Add(skew))
	}
}

// heartbeat delivers the heartbeat of a VM, with measurements that are sampleDelay old.
func (l *servedLoad) heartbeat(i int, at time.Time) {
	share := 0.15 * l.rng.Float64()
	hb := wire.VMHeartbeat{VM: *l.qs.VM(servedVM(i)), Measured: true, FillerUsage: map[string]float64{"batch": share}}
	for job := range servedJobs {
		h := max(0.2, headroom(job, l.now.Add(-sampleDelay))-fillerPressure*share+0.1*l.rng.NormFloat64())
		k := queue.TaskKey{Job: servedJob(job), Index: i}
		hb.Runs = append(hb.Runs, rudderfork.RunStatus{RunRef: k.Ref(1), Percent: fullPercent, Load: int64(1800 / h)})
	}
	vm := l.qs.VM(servedVM(i))
	v := l.f.vm(vm.ID)
	l.f.recordHeartbeat(v, hb, at)
	w := workloadOf(l.qs, vm, v)
	l.f.pressures.observe(w, v.heartbeat, at)
	l.f.observeSwings(l.qs, w, v.heartbeat, at)
	l.f.updateForecasts(l.qs, v, at)
}

// forecastError returns the sum of the errors of all tasks' forecast changes, relative to the sum
// of the actual changes.
func (l *servedLoad) forecastError() float64 {
	failed, changes := 0.0, 0.0
	at := l.now.Add(-heartbeatInterval) // of the last heartbeats
	for job := range servedJobs {
		actual := math.Inf(1)
		for span := time.Duration(0); span <= forecastSpan; span += forecastSpan / 8 {
			actual = min(actual, headroom(job, at.Add(span))-headroom(job, at.Add(-sampleDelay)))
		}
		for i := range servedTasks {
			run := l.f.runs[queue.TaskKey{Job: servedJob(job), Index: i}.Run(1)]
			failed += math.Abs(run.ForecastHeadroomChange - actual)
			changes += math.Abs(actual)
		}
	}
	return failed / changes
}

// leader returns a scheduler that leads in a term with the load's fleet, without a replica.
func (l *servedLoad) leader(term uint64) *Scheduler {
	return &Scheduler{cfg: Settings{Policies: Policies{KeepLearned: true}}, fleet: l.f, term: term, log: zerolog.Nop(), met: newMetrics()}
}

// keep has the leader commit a record.
func (l *servedLoad) keep(term uint64, skew time.Duration) {
	s := l.leader(term)
	s.handover.termStart = l.now.Add(skew - time.Minute)
	r, ok := s.makeRecord(l.now.Add(skew))
	assert.Assert(l.t, ok)
	data, err := r.encode(func(err error) { assert.NilError(l.t, err) })
	assert.NilError(l.t, err)
	l.apply(queue.Command{Learned: data})
}

// TestTakeover guards against a new leader that has to observe the load for several seconds before
// it can forecast it. The clocks of the two leaders' machines differ by an hour.
func TestTakeover(t *testing.T) {
	const skew = time.Hour
	// takeOver returns the load one second after a leader change, with the forecasts right before
	// it and their error. The change is 1.4 s after the last record, and takes 1 s.
	takeOver := func(t *testing.T, keep bool) (l *servedLoad, forecasts int, failed float64) {
		l = newServedLoad(t)
		var watch learned.Watch
		watch.Observe(nil, 7, l.now.Add(skew))
		l.run(30*time.Second, 0)
		l.keep(7, 0)
		watch.Observe(l.qs.Learned(), 7, l.now.Add(skew))
		l.run(1500*time.Millisecond, 0)
		forecasts, failed = l.f.countForecasts(), l.forecastError()
		l.now = l.now.Add(time.Second)
		l.f = newFleet()
		if keep {
			s := l.leader(8)
			s.handover.watch = watch
			s.assumeLearned(l.now.Add(skew))
		}
		l.run(time.Second, skew)
		return l, forecasts, failed
	}
	t.Run("kept", func(t *testing.T) {
		l, before, failed := takeOver(t, true)
		after, failedNow := l.f.countForecasts(), l.forecastError()
		t.Logf("forecasts %d, then %d; error %.2f, then %.2f", before, after, failed, failedNow)
		assert.Assert(t, before > servedJobs*servedTasks/2 && float64(after) >= 0.9*float64(before), "%d forecasts, then %d", before, after)
		assert.Assert(t, failedNow < 1.5*failed, "the errors are %.2f of the changes, before the takeover %.2f", failedNow, failed)
		pressure, stderr := l.f.pressures.model.Estimate("audio", "batch", l.now.Add(skew))
		assert.Assert(t, math.Abs(pressure-fillerPressure) < 1 && stderr < 1, "the pressure is %.2f ± %.2f", pressure, stderr)
	})
	t.Run("not kept", func(t *testing.T) {
		l, before, _ := takeOver(t, false)
		after := l.f.countForecasts()
		assert.Assert(t, float64(after) < 0.9*float64(before), "%d forecasts, then %d: the load needs no record", before, after)
		t.Logf("forecasts %d, then %d", before, after)
	})
}

// TestSharesOutliveLeader guards against a change of leader from which the group that has had the
// most service gains, and against one that restores shares without the policy.
func TestSharesOutliveLeader(t *testing.T) {
	l := newServedLoad(t)
	l.f.shares = fairshare.New(nil)
	flooding, starved := fairshare.GroupOf("q", "north"), fairshare.GroupOf("q", "south")
	for at := rudderfork.Millis(l.now); at <= rudderfork.Millis(l.now.Add(10*time.Second)); at += 100 {
		l.f.shares.Observe(at, []fairshare.Demand{
			{Group: flooding, Waiting: 9, Cores: 90, ObjectiveMS: 1_000}, {Group: starved, Waiting: 9, Cores: 1, ObjectiveMS: 1_000},
		})
	}
	want := l.f.shares.Groups()
	l.now = l.now.Add(10 * time.Second)
	l.keep(7, 0)
	next := func(ledger *fairshare.Ledger) *Scheduler {
		l.f = newFleet()
		l.f.shares = ledger
		s := l.leader(8)
		s.handover.watch.Observe(nil, 7, l.now)
		s.handover.watch.Observe(l.qs.Learned(), 7, l.now)
		s.assumeLearned(l.now)
		return s
	}
	got := next(fairshare.New(nil)).fleet.shares.Groups()
	assert.Equal(t, len(got), len(want))
	for i := range got {
		assert.Equal(t, got[i].Group, want[i].Group)
		assert.Equal(t, got[i].Attained, want[i].Attained)
	}
	assert.Assert(t, next(nil).fleet.shares == nil)
}

// TestRecordBounds guards against a record that a fleet of any size or long names make larger than
// the state accepts, or from which whole sections are then missing.
func TestRecordBounds(t *testing.T) {
	const many = 2_000
	l := newServedLoad(t)
	l.f.shortDemand.Observe(dispatch.ShortTasks{Running: 1, CPUMilli: 1}, 1)
	longName := func(i int) string { return fmt.Sprintf("%064d", i) }
	for i := range many {
		k := queue.StepKey{Job: rudderfork.JobID(longName(i)), Occurrence: i, Step: i}
		l.f.swings.Observe(longName(i%100), k, 2, l.now)
		l.f.workTimes.Observe(longName(i), k, &queue.Step{Count: 1, ExpectedMS: 1000}, 3000, l.now)
		l.f.pressures.model.SetPrior(longName(i), longName(i), 2)
	}
	l.f.shares = fairshare.New(nil)
	var demands []fairshare.Demand
	for i := range many {
		demands = append(demands, fairshare.Demand{Group: fairshare.GroupOf(longName(i), longName(i)), Waiting: 1, Cores: 1, ObjectiveMS: 1})
	}
	l.f.shares.Observe(1, demands)
	l.keep(1, 0)
	r, err := learned.Decode(l.qs.Learned())
	assert.NilError(t, err)
	for _, m := range learnedModels {
		var content any
		assert.NilError(t, r.Section(m.section, m.version, &content))
	}
	t.Logf("%d bytes", len(l.qs.Learned()))
}

// BenchmarkRecord measures for how long the leader's fleet is locked while a record is made.
func BenchmarkRecord(b *testing.B) {
	l := newServedLoad(b)
	l.run(10*time.Second, 0)
	for i := range 500 {
		l.f.swings.Observe("q", queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))}, 2, l.now)
	}
	s := l.leader(1)
	for b.Loop() {
		_, ok := s.makeRecord(l.now)
		assert.Assert(b, ok)
	}
}
