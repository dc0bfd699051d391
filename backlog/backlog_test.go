package backlog

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var lane = Lane{Service: "desk"}

const (
	coreMS = 1_000.0 // work of a core in a ms
	core   = 1_000   // thousandths of a core
)

// newJob returns a job of one task of a core that takes 1 s and is worth something for 5 s.
func newJob(id string) Job {
	j := Job{ID: rudderfork.JobID(id), Queue: "q", Service: "desk", Priority: 1, Work: 1_000 * coreMS, PathMS: 1_000, WorthlessMS: 5_000}
	need := rudderfork.Resources{CPUMilli: core, MemoryMB: 100}
	j.AddTasks(lane, j.Work, need, need)
	return j
}

// load is a lane with 4 cores and 40 s of work ahead of newJob, on VMs of 4 cores.
func load(changes ...func(q *Queue)) *Summary {
	q := &Queue{Rate: 4 * core, Entries: []Entry{{0, 1, 100_000 * coreMS}, {1, 1, 60_000 * coreMS}, {1, 9_000 * coreMS, 90_000 * coreMS}, {2, 1, 90_000 * coreMS}}}
	q.AddReady(rudderfork.Resources{CPUMilli: core, MemoryMB: 100}, 160)
	for _, change := range changes {
		change(q)
	}
	shapes := NewShapes()
	shapes.Add("desk", []string{"fast"}, rudderfork.Resources{CPUMilli: 4 * core, MemoryMB: 1_000})
	return NewSummary(0, map[Lane]*Queue{lane: q}, shapes)
}

func newLoaded(changes ...func(q *Queue)) *Controller {
	c := New()
	c.SetSummary(load(changes...))
	return c
}

func assertReason(t *testing.T, want Reason, c *Controller, j Job, now int64) Decision {
	t.Helper()
	d := c.Decide(j, now)
	assert.Equal(t, d.Reason, want, "%+v", d)
	return d
}

// TestDecide guards against refusals for another reason than the work ahead.
func TestDecide(t *testing.T) {
	d := assertReason(t, Overloaded, newLoaded(), newJob("a"), 0)
	assert.Equal(t, d.EndMS, 41_000.0, "the work ahead, then the job")
	assert.Equal(t, d.WorkAhead, 160_000*coreMS)
	for name, accepted := range map[string]struct {
		change func(q *Queue)
		job    func(j *Job)
		now    int64
	}{
		"exempt":                     {job: func(j *Job) { j.Exempt = true }},
		"more important":             {job: func(j *Job) { j.Priority = -1 }},
		"worth something for longer": {job: func(j *Job) { j.WorthlessMS = 20_000 }},
		"another lane":               {job: func(j *Job) { j.Demands[0].Lane.Filler = true }},
		"no demand":                  {job: func(j *Job) { j.Demands, j.Work, j.PathMS = nil, 0, 0 }},
		"fits into a free VM":        {change: func(q *Queue) { q.Free.Add(rudderfork.Resources{CPUMilli: core, MemoryMB: 100}) }},
		"nothing ready waits":        {change: func(q *Queue) { q.Waiting = 0 }},
		"unknown rate":               {change: func(q *Queue) { q.Rate = 0 }},
		"more capacity":              {change: func(q *Queue) { q.Rate *= 20 }},
		"outdated summary":           {now: maxSummaryAgeMS + 1},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJob("a")
			c := newLoaded()
			if accepted.change != nil {
				c = newLoaded(accepted.change)
			}
			if accepted.job != nil {
				accepted.job(&j)
			}
			assertReason(t, "", c, j, accepted.now)
		})
	}
	assertReason(t, "", New(), newJob("a"), 0)
}

// TestUnplaceable guards against tasks that wait forever, and against refusals while VMs may still
// register.
func TestUnplaceable(t *testing.T) {
	for name, c := range map[string]struct {
		size Size
		want Reason
	}{
		"fits":              {Size{"fast", rudderfork.Resources{CPUMilli: 4 * core, MemoryMB: 1_000}}, ""},
		"too large":         {Size{"", rudderfork.Resources{CPUMilli: 4*core + 1}}, Unplaceable},
		"huge":              {Size{"", rudderfork.Resources{CPUMilli: math.MaxInt64, MemoryMB: math.MaxInt64}}, Unplaceable},
		"unknown label":     {Size{"gpu", rudderfork.Resources{}}, Unplaceable},
		"negative and zero": {Size{"", rudderfork.Resources{CPUMilli: -1}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			j, ctrl := newJob("a"), newLoaded(func(q *Queue) { q.Waiting = 0 })
			j.Exempt, j.Sizes = true, []Size{c.size}
			assertReason(t, "", ctrl, j, int64(j.WorthlessMS)-1)
			assertReason(t, c.want, ctrl, j, int64(j.WorthlessMS))
			j.Service = "unknown"
			assertReason(t, "", ctrl, j, int64(j.WorthlessMS))
		})
	}
}

// TestReturns guards against refused callers that all return at once, or behind newcomers.
func TestReturns(t *testing.T) {
	c := newLoaded(func(q *Queue) { q.Entries = q.Entries[:1] }) // 25 s of work
	last, first := int64(0), int64(0)
	for i := range 30 {
		j := newJob(fmt.Sprint(i))
		d := assertReason(t, Overloaded, c, j, int64(i))
		assert.Equal(t, d.RetryMS%1_000, int64(0))
		assert.Assert(t, int64(i)+d.RetryMS >= last, "it returns before an earlier caller")
		last = int64(i) + d.RetryMS
		if i == 0 {
			first = last
		}
		c.Refuse(j, d, int64(i))
	}
	assert.Assert(t, last > first, "the returns are not spread")
	assert.Equal(t, c.TotalRefused(), uint64(30))
	early := c.Decide(newJob("0"), first-2_500)
	assert.Assert(t, !early.Refused() || early.RetryMS >= 2_500, "%+v", early)

	c.SetSummary(NewSummary(first, map[Lane]*Queue{lane: {Rate: 4 * core, Waiting: 1, Entries: []Entry{{1, 1, 19_000 * coreMS}}}}, c.summary.shapes))
	c.errors.Restore([]QueueError{{Queue: "q", Weight: 1e6}}, first) // exact predictions
	returning := assertReason(t, Overloaded, c, newJob("0"), first)
	newcomer := assertReason(t, Overloaded, c, newJob("new"), first)
	assert.Assert(t, newcomer.EndMS > returning.EndMS, "promised work goes before newcomers")
	c.SetSummary(NewSummary(last+returnGraceMS+1_000, map[Lane]*Queue{}, c.summary.shapes))
	assert.Equal(t, len(c.refusals.promises), 0, "callers that did not return are not expected any more")
	c.Accept(newJob("0"), returning, last)
	assert.Assert(t, c.refusals.get("0") == nil)
}

// TestEarlyReturns guards against a promised time that moves whenever the caller comes too early, and
// against early returns that count as kept promises.
func TestEarlyReturns(t *testing.T) {
	c := newLoaded()
	first := assertReason(t, Overloaded, c, newJob("a"), 0)
	c.Refuse(newJob("a"), first, 0)
	for now := int64(100); now < first.RetryMS; now += 100 {
		c.summary.at = now
		d := assertReason(t, Overloaded, c, newJob("a"), now)
		c.Refuse(newJob("a"), d, now)
	}
	assert.Equal(t, c.refusals.get("a").returnAt, first.RetryMS)
	assert.Equal(t, c.refusals.kept, 0.0)
	_, ok := c.refusals.firstArrival("a", first.RetryMS)
	assert.Assert(t, ok, "it has come at its promised time")
}

// TestRefusalsBounded guards against a list of refusals that grows without bound.
func TestRefusalsBounded(t *testing.T) {
	r := newRefusals()
	for i := range int64(maxRefusals + 10) {
		r.add(newJob(fmt.Sprint(i)), i, 1_000_000-i)
	}
	assert.Equal(t, len(r.byID), maxRefusals)
	assert.Equal(t, len(r.promises[lane].list), maxRefusals)
	assert.Assert(t, r.get("9") == nil && r.get("10") != nil, "the oldest go first")
}

// TestExpire guards against promises of some lanes that outlive the time of a return, and against
// returns that are counted once for each lane.
func TestExpire(t *testing.T) {
	r, other := newRefusals(), Lane{Service: "desk", Filler: true}
	for i := range int64(20) {
		j := newJob(fmt.Sprint(i))
		j.AddTasks(other, 0, rudderfork.Resources{}, rudderfork.Resources{})
		r.add(j, 0, 1_000*(i/2)) // two return at a time
	}
	r.remove("5", 0)
	r.expire(returnGraceMS + 3_000)
	for _, l := range []Lane{lane, other} {
		assert.Equal(t, len(r.promises[l].list), 14, "those at 3 s are still expected")
	}
	assert.Equal(t, r.promises[lane].all(1), 14*newJob("").Work)
	assert.Equal(t, r.kept, 1.0)
	assert.Equal(t, r.missed, 5.0)
	r.expire(1e9)
	assert.Equal(t, len(r.promises), 0)
	assert.Equal(t, r.missed, 19.0)
}

// TestObserveEndsBounded guards against predictions that are all looked at in one call, or that are
// never looked at because those before them do not end.
func TestObserveEndsBounded(t *testing.T) {
	c := New()
	for i := range maxPredictions + 1 {
		c.Accept(newJob(fmt.Sprint(i)), Decision{EndMS: 1_000}, 0)
		c.Accept(newJob(fmt.Sprint(i)), Decision{EndMS: 1_000}, 0)
	}
	seen := map[rudderfork.JobID]int{}
	for range maxPredictions / maxObserved {
		looked := 0
		c.ObserveEnds(func(id rudderfork.JobID) Progress {
			looked++
			seen[id]++
			return Progress{Ended: seen[id] == 2}
		}, 0)
		assert.Equal(t, looked, maxObserved)
	}
	assert.Equal(t, len(seen), maxPredictions, "some are not looked at")
	for range maxPredictions / maxObserved {
		c.ObserveEnds(func(rudderfork.JobID) Progress { return Progress{Ended: true} }, 0)
	}
	assert.Equal(t, len(c.predicted), 0)
	assert.Equal(t, len(c.toObserve), 0)
}

// TestErrors guards against predictions that are trusted although jobs end much earlier, and against
// damaged snapshots.
func TestErrors(t *testing.T) {
	c := newLoaded()
	for i := range 40 {
		j := newJob(fmt.Sprint("ended", i))
		c.Accept(j, Decision{EndMS: 100_000}, 0)
	}
	seen := c.ObserveEnds(func(rudderfork.JobID) Progress { return Progress{Ended: true, TookMS: 1_000} }, 0)
	assert.Equal(t, len(seen), 40)
	assertReason(t, "", c, newJob("a"), 0)

	restored := newLoaded()
	restored.Errors().Restore(append(c.Errors().Snapshot(10), QueueError{Queue: "bad", Weight: math.NaN()}, QueueError{Queue: "old", AgeMS: -1}, QueueError{}), 10)
	assert.DeepEqual(t, restored.Errors().Snapshot(10), c.Errors().Snapshot(10))
	assertReason(t, "", restored, newJob("a"), 10)
	assertReason(t, "", restored, newJob("a"), 1_000)

	e := NewErrors()
	for i := range maxQueues + 5 {
		e.Observe(fmt.Sprint(i), math.Inf(-1), int64(i))
		e.Observe(fmt.Sprint(i), math.NaN(), int64(i))
	}
	assert.Equal(t, len(e.Snapshot(0)), maxQueues)
	assert.Assert(t, e.queues["4"] == nil && e.queues["5"] != nil, "the oldest go first")
	_, early := e.Estimate("5", maxQueues)
	assert.Assert(t, early < maxLogError, "%f", early)
}

// TestHugeJob guards against one huge job, or one of a damaged estimate, that makes the controller
// refuse others.
func TestHugeJob(t *testing.T) {
	for _, work := range []float64{0, -1, 1e40} {
		c := newLoaded(func(q *Queue) { q.Entries = q.Entries[:1] })
		for i := range 30 {
			c.Decide(newJob(fmt.Sprint(i)), 0)
		}
		huge := newJob("huge")
		huge.Work, huge.Demands[0].Work = work, work
		c.Refuse(huge, Decision{Reason: Overloaded, RetryMS: 5_000}, 0)
		c.SetSummary(load(func(q *Queue) { q.Entries = nil }))
		assertReason(t, "", c, newJob("a"), 0)
	}
	idle := newLoaded(func(q *Queue) { q.Entries = nil })
	huge := newJob("huge")
	huge.Work, huge.Demands[0].Work = 1e40, 1e40
	assertReason(t, "", idle, huge, 0)
}

// BenchmarkDecide measures the decision on a submission with 10,000 waiting jobs and a full list of
// refusals.
func BenchmarkDecide(b *testing.B) {
	c := newLoaded(func(q *Queue) {
		for i := range 10_000 {
			q.Entries = append(q.Entries, Entry{1, float64(i), coreMS})
		}
	})
	for i := range maxRefusals {
		c.refusals.add(newJob(fmt.Sprint(i)), 0, int64(i))
	}
	for i := 0; b.Loop(); i++ {
		j := newJob("new")
		if d := c.Decide(j, 1); !d.Refused() {
			b.Fatal(d)
		}
	}
}

// BenchmarkObserveEnds measures the look at the predictions of accepted jobs, as many as are kept.
func BenchmarkObserveEnds(b *testing.B) {
	c, jobs := New(), map[rudderfork.JobID]*Progress{}
	for i := range maxPredictions {
		j := newJob(fmt.Sprint("job", i))
		c.Accept(j, Decision{EndMS: 1_000}, 0)
		jobs[j.ID] = &Progress{}
	}
	for b.Loop() {
		c.ObserveEnds(func(id rudderfork.JobID) Progress { return *jobs[id] }, 0)
	}
}

// BenchmarkExpire measures the expiry of a full list of refusals at once.
func BenchmarkExpire(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		r := newRefusals()
		for i := range maxRefusals {
			r.add(newJob(fmt.Sprint(i)), 0, int64(i))
		}
		b.StartTimer()
		r.expire(1e9)
	}
}
