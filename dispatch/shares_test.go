package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/queue"
)

const flooder = "south"

// newFloodLoad returns a simulation of callers of four origins, each of which sends about half
// of its share for a minute. If flood is true, one of them sends several times its share for 30 s.
func newFloodLoad(t *testing.T, seed uint64, flood bool) *simulation {
	sim := newRosterFleet(t, seed)
	for _, origin := range []string{"north", "east", "west", flooder} {
		for at := 1_000.0; at < 60_000; {
			every := 1_200.0
			if flood && origin == flooder && at > 10_000 && at < 40_000 {
				every = 110
			}
			at += sim.rnd.ExpFloat64() * every
			sim.jobs = append(sim.jobs, sim.shortJob(origin, int64(at)))
		}
	}
	slices.SortFunc(sim.jobs, func(a, b simJob) int { return int(a.at - b.at) })
	return sim
}

// shortJob returns a job of one or two steps of fillers that take 0.8 s each.
func (sim *simulation) shortJob(origin string, at int64) simJob {
	j := simJob{queue: "later", origin: origin, at: at}
	for i := range 1 + sim.rnd.IntN(2) {
		st := fillerStep("roster", 3_500)
		st.Count, st.Size.MemoryMB = int(max(1, sim.logNormal(8, 0.6, 40))), 6_400
		took := sim.logNormal(800, 0.5, 3_000)
		st.ExpectedMS = int64(max(1, took*sim.logNormal(1, 0.5, 3)))
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		j.spec, j.trueMS = append(j.spec, st), append(j.trueMS, int64(took))
	}
	return j
}

// p95OfOthers returns the 95th percentile of the durations of the jobs of all origins but
// the flooder, in ms.
func (sim *simulation) p95OfOthers() int64 {
	var took []int64
	for _, j := range sim.jobs {
		if j.origin != flooder {
			took = append(took, j.done-j.at)
		}
	}
	slices.Sort(took)
	return took[len(took)*95/100]
}

// lastDone returns when the last job was done, ms.
func (sim *simulation) lastDone() (at int64) {
	for _, j := range sim.jobs {
		at = max(at, j.done)
	}
	return at
}

// TestFlood guards against an origin that makes the jobs of others late by sending far more than
// its share, and against capacity or worth that is wasted to prevent it.
func TestFlood(t *testing.T) {
	var calm, off, on struct{ p95, inTime, last float64 }
	const days = 4
	for seed := range uint64(days) {
		for _, c := range []struct {
			sums   *struct{ p95, inTime, last float64 }
			flood  bool
			shares *fairshare.Ledger
		}{{&calm, false, nil}, {&off, true, nil}, {&on, true, fairshare.New(nil)}} {
			sim := newFloodLoad(t, seed, c.flood)
			sim.shares = c.shares
			sim.simulate()
			c.sums.p95 += float64(sim.p95OfOthers()) / days
			c.sums.inTime += sim.inTimeShare("later") / days
			c.sums.last += float64(sim.lastDone()) / days
		}
	}
	t.Logf("without the flood %.3f, without shares %.3f, with shares %.3f", calm, off, on)
	assert.Assert(t, on.p95 <= 2*calm.p95, "p95 of the other origins: %.0f ms, and %.0f ms without the flood", on.p95, calm.p95)
	assert.Assert(t, on.last <= 1.01*off.last, "all is done at %.0f ms, and at %.0f ms without shares", on.last, off.last)
	assert.Assert(t, on.inTime >= off.inTime-0.05, "in time: %.3f, and %.3f without shares", on.inTime, off.inTime)
}

// TestSameOrderWithoutCompetition guards against shares that change the order of jobs where no
// two groups compete for long.
func TestSameOrderWithoutCompetition(t *testing.T) {
	for _, c := range []struct {
		name      string
		flood     bool
		oneOrigin bool
	}{{"one origin", true, true}, {"enough for all", false, false}} {
		t.Run(c.name, func(t *testing.T) {
			var done [2][]int64
			for i, shares := range []*fairshare.Ledger{nil, fairshare.New(nil)} {
				sim := newFloodLoad(t, 1, c.flood)
				sim.shares = shares
				for j := range sim.jobs {
					if c.oneOrigin {
						sim.jobs[j].origin = flooder
					}
				}
				sim.simulate()
				for _, j := range sim.jobs {
					done[i] = append(done[i], j.done)
				}
			}
			assert.DeepEqual(t, done[0], done[1])
		})
	}
}

// TestStarvedOrigin guards against large jobs that are put off until they are worth nothing while
// another origin keeps sending small ones.
func TestStarvedOrigin(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares *fairshare.Ledger
		starve bool
	}{{"without shares", nil, true}, {"with shares", fairshare.New(nil), false}} {
		t.Run(c.name, func(t *testing.T) {
			sim := newRosterFleet(t, 1)
			sim.shares = c.shares
			wide := fillerStep("roster", 3_500)
			wide.Count, wide.Size.MemoryMB, wide.ExpectedMS = 70, 6_400, 1_000
			for at := int64(1_000); at < 60_000; at += 100 {
				if at%3_000 == 1_000 {
					sim.jobs = append(sim.jobs, simJob{queue: "later", origin: "north", at: at, spec: []queue.Step{wide}, trueMS: []int64{1_000}})
				}
				sim.jobs = append(sim.jobs, sim.shortJob(flooder, at))
			}
			sim.simulate()
			all, worthless := 0, 0
			q, _ := sim.s.Document().Queue("later")
			for i, j := range sim.jobs {
				if j.origin == flooder {
					continue
				}
				all++
				if j.done-j.at > worthlessFactor*ObjectiveMS(q, sim.s.Job(rudderfork.JobID(sim.id(i))), nil) {
					worthless++
				}
			}
			t.Logf("%d of %d large jobs were worthless", worthless, all)
			assert.Equal(t, worthless > all/4, c.starve)
		})
	}
}

// TestTurn guards against an order in which a starved group goes before lasting jobs, worthless
// jobs before others, or jobs that are ahead but in time after late ones.
func TestTurn(t *testing.T) {
	const now = 1_000_000
	inOrder := []struct {
		name string
		jobState
		standing fairshare.Standing
	}{
		{"lasting", jobState{lasting: true}, fairshare.Even},
		{"starved", jobState{workLeft: 9, objectiveFrom: now}, fairshare.Starved},
		{"starved, late", jobState{workLeft: 8, objectiveFrom: now - 2_000}, fairshare.Starved},
		{"in time", jobState{workLeft: 7, objectiveFrom: now}, fairshare.Even},
		{"in time, ahead", jobState{workLeft: 6, objectiveFrom: now}, fairshare.Ahead},
		{"late", jobState{workLeft: 5, objectiveFrom: now - 2_000}, fairshare.Even},
		{"late, ahead", jobState{workLeft: 4, objectiveFrom: now - 2_000}, fairshare.Ahead},
		{"worthless, ahead", jobState{workLeft: 3, objectiveFrom: now - 9_000}, fairshare.Ahead},
		{"worthless, starved, later", jobState{workLeft: 2, objectiveFrom: now - 8_000}, fairshare.Starved},
	}
	var ranks []rank
	for i := range inOrder {
		js := &inOrder[i].jobState
		js.objective, js.group = 1_000, &group{standing: inOrder[i].standing}
		ranks = append(ranks, js.rank(now))
		if i > 0 {
			assert.Equal(t, ranks[i-1].compare(ranks[i]), -1, "%s before %s", inOrder[i-1].name, inOrder[i].name)
		}
	}
}

// compareWithoutShares compares ranks without regard to where the jobs came from.
func compareWithoutShares(a, b rank) int {
	return cmp.Or(
		compareBool(a.worthless, b.worthless), cmp.Compare(a.priority, b.priority), compareBool(a.late, b.late),
		cmp.Compare(a.workLeft, b.workLeft), cmp.Compare(a.deadline, b.deadline),
	)
}

// randomRanks returns the ranks of jobs of all kinds whose groups have one of the standings. Few
// distinct values make ties frequent.
func randomRanks(rnd *rand.Rand, n int, standings ...fairshare.Standing) []rank {
	const now = 1_000_000
	list := make([]rank, n)
	for i := range list {
		js := jobState{
			objectiveFrom: now - rnd.Int64N(8)*500, objective: rnd.Int64N(3) * 500, pathLeft: rnd.Int64N(3) * 500,
			workLeft: float64(rnd.IntN(4)), lasting: rnd.IntN(8) == 0,
		}
		if js.queue.Priority = rnd.IntN(3); js.lasting {
			js.workLeft = 0
		}
		if len(standings) > 0 {
			js.group = &group{standing: standings[rnd.IntN(len(standings))]}
		}
		list[i] = js.rank(now)
	}
	return list
}

// TestOrderWithoutShares guards against an order that differs from the one without regard to where
// jobs came from, although nothing is shared or no group is ahead or starved.
func TestOrderWithoutShares(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, standings := range [][]fairshare.Standing{nil, {fairshare.Even}} {
		ranks := randomRanks(rnd, 300, standings...)
		for _, a := range ranks {
			for _, b := range ranks {
				assert.Equal(t, a.compare(b), compareWithoutShares(a, b), "%+v and %+v", a, b)
			}
		}
	}
}

// TestOrderIsConsistent guards against an order with shares that depends on the order in which
// jobs are compared.
func TestOrderIsConsistent(t *testing.T) {
	ranks := randomRanks(rand.New(rand.NewPCG(1, 2)), 300, fairshare.Even, fairshare.Ahead, fairshare.Starved)
	slices.SortFunc(ranks, rank.compare)
	for i, a := range ranks {
		for j, b := range ranks[i:] {
			assert.Equal(t, a.compare(b), -b.compare(a), "%+v and %+v", a, b)
			assert.Assert(t, a.compare(b) <= 0, "%+v and %+v, %d places apart", a, b, j)
		}
	}
}

// TestDemands guards against groups that compete by jobs that cannot, and against starts of the
// plan that still count as waiting.
func TestDemands(t *testing.T) {
	w := newFixture(t, 1)
	w.view.Now, w.view.Shares = 600_000, fairshare.Standings{}
	submit := func(origin, id string, at int64, st queue.Step, count int) {
		st.Count, w.origin = count, origin
		w.submit("urgent", id, at, st)
	}
	submit("north", "a", w.view.Now, cpuStep(1_000), 3)
	submit("south", "b", w.view.Now, cpuStep(3_000), 2)
	submit("no name!", "worthless", 1, cpuStep(4_000), 1)
	submit("west", "lasting", w.view.Now, servingStep("s", 500), 1)
	pl := NewPlanner()
	want := []fairshare.Demand{
		{Group: fairshare.Group{Queue: "urgent", Origin: "north"}, Cores: 3, ObjectiveMS: 1_750},
		{Group: fairshare.Group{Queue: "urgent", Origin: "south"}, Waiting: 2, ObjectiveMS: 1_750},
		{Group: fairshare.Group{Queue: "urgent"}, ObjectiveMS: 1_750},
	}
	assert.DeepEqual(t, pl.Plan(w.s, w.view).Demands, want)
	assert.DeepEqual(t, pl.Plan(w.s, w.view).Demands, want) // nothing was committed in between
	w.view.Shares = nil
	assert.Assert(t, pl.Plan(w.s, w.view).Demands == nil)
}
