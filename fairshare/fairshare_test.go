package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

const (
	stepMS      = 100
	objectiveMS = 5_000
	capacity    = 12 // cores
)

// caller is a group of the queue "q" that wants some cores all the time.
type caller struct {
	origin     string
	want       float64
	unservable bool
}

// play lets callers use the capacity in the order of their standings, the first of the list first
// among equals, and returns how many cores each has had in the mean.
func play(l *Ledger, duration int64, callers ...caller) map[string]float64 {
	order := []Standing{Starved, Even, Ahead}
	got := map[string]float64{}
	for end := l.at + duration; l.at < end; {
		slices.SortStableFunc(callers, func(a, b caller) int {
			place := func(c caller) int { return slices.Index(order, l.Standings().Of(GroupOf("q", c.origin))) }
			return cmp.Compare(place(a), place(b))
		})
		left := float64(capacity)
		var demands []Demand
		for _, c := range callers {
			use := min(left, c.want)
			if c.unservable {
				use = 0
			}
			left -= use
			got[c.origin] += use * stepMS / float64(duration)
			demands = append(demands, Demand{GroupOf("q", c.origin), int(c.want - use), use, objectiveMS})
		}
		l.Observe(l.at+stepMS, demands)
	}
	return got
}

func assertCores(t *testing.T, got map[string]float64, origin string, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got[origin]-want) < 0.1*capacity, "%s has had %.2f cores, want about %.2f", origin, got[origin], want)
}

// TestShares guards against groups that get more than their share while others compete, and
// against capacity that is held back from groups that want it.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name    string
		callers []caller
		want    map[string]float64
	}{
		{"one group gets all", []caller{{"a", 20, false}}, map[string]float64{"a": 12}},
		{"equal weights", []caller{{"a", 20, false}, {"b", 20, false}, {"c", 20, false}}, map[string]float64{"a": 4, "b": 4, "c": 4}},
		{"by weight", []caller{{"a", 20, false}, {"heavy", 20, false}}, map[string]float64{"a": 3, "heavy": 9}},
		{"what others leave", []caller{{"a", 90, false}, {"b", 2, false}, {"c", 3, false}}, map[string]float64{"a": 7, "b": 2, "c": 3}},
		{"beside groups that cannot be served", []caller{{"a", 20, false}, {"b", 20, false}, {"c", 5, true}, {"d", 5, true}, {"e", 5, true}}, map[string]float64{"a": 6, "b": 6}},
		{"with an invalid origin", []caller{{"no name!", 20, false}, {"b", 20, false}}, map[string]float64{"no name!": 6, "b": 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := play(New(map[rudderfork.Domain]int{"heavy": 3}), 300_000, c.callers...)
			for origin, want := range c.want {
				assertCores(t, got, origin, want)
			}
		})
	}
}

// TestNoClaim guards against claims and debts from times in which a group did not compete.
func TestNoClaim(t *testing.T) {
	assertLevel := func(t *testing.T, l *Ledger) {
		t.Helper()
		play(l, stepMS, caller{"a", 90, false}, caller{"b", 90, false})
		for _, g := range l.Groups() {
			assert.Assert(t, math.Abs(g.Lag) < 0.1*capacity, "%+v", g)
		}
	}
	for _, c := range []struct {
		name   string
		before func(l *Ledger)
	}{
		{"idle while another group used all", func(l *Ledger) { play(l, 60_000, caller{"a", 20, false}) }},
		{"a small demand that was always met", func(l *Ledger) { play(l, 60_000, caller{"a", 90, false}, caller{"b", 1, false}) }},
		{"service from a time of plenty", func(l *Ledger) { play(l, 60_000, caller{"a", 10, false}, caller{"b", 1, false}) }},
		{"a contest that ended long ago", func(l *Ledger) {
			play(l, 4_000, caller{"a", 20, false}, caller{"b", 20, false})
			play(l, 60_000, caller{"a", 2, false}, caller{"b", 2, false})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(nil)
			c.before(l)
			assertLevel(t, l)
		})
	}
	t.Run("service between contests", func(t *testing.T) {
		l, got := New(nil), 0.0
		for range 100 {
			got += play(l, 1_000, caller{"a", 20, false}, caller{"b", 20, false})["a"] / 100
			play(l, 3_000, caller{"a", 10, false}, caller{"b", 1, false})
		}
		assertCores(t, map[string]float64{"a": got}, "a", 6)
	})
	t.Run("a claim is bounded", func(t *testing.T) {
		l := New(nil)
		play(l, 600_000, caller{"a", 20, false}, caller{"b", 20, true})
		assertCores(t, play(l, 120_000, caller{"a", 20, false}, caller{"b", 20, false}), "b", 6)
	})
}

// TestNeverBesideNobody guards against a standing of a group that competes with no other.
func TestNeverBesideNobody(t *testing.T) {
	l := New(nil)
	for range 1_000 {
		play(l, stepMS, caller{"a", 90, false})
		assert.Equal(t, l.Standings().Of(GroupOf("q", "a")), Even)
	}
}

// TestWaitIsBounded guards against a group that waits without bound while others that compete with
// it are served. At worst its share makes up for the greatest debt and puts it behind by its bound,
// and it is starved an objective later. A few more plans are allowed for others that are starved.
func TestWaitIsBounded(t *testing.T) {
	const longest = (claimObjectives+2)*objectiveMS + 5*stepMS
	light, heavy, stuck := caller{"light", 90, false}, caller{"heavy", 90, false}, caller{"stuck", 90, true}
	for _, c := range []struct {
		name    string
		callers []caller
	}{
		{"least weight", []caller{heavy, light}},
		{"greatest weight", []caller{light, heavy}},
		{"beside a group that cannot be served", []caller{heavy, stuck, light}},
		{"another starved group", []caller{heavy, {"other", 90, false}, light}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, served := New(map[rudderfork.Domain]int{"heavy": 1_000}), map[string]int64{}
			for l.at < 600_000 {
				got := play(l, stepMS, slices.Clone(c.callers)...)
				for _, c := range c.callers {
					if got[c.origin] > 0 || c.unservable {
						served[c.origin] = l.at
					}
					assert.Assert(t, l.at-served[c.origin] <= longest, "%s at %d ms", c.origin, l.at)
				}
			}
		})
	}
}

// TestUnservable guards against groups that go after the jobs of other queues because a group of
// their own queue waits for something that it cannot get, also if it was served before.
func TestUnservable(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []caller
	}{
		{"from the beginning", nil},
		{"once served", []caller{{"a", 90, false}, {"b", 20, false}}},
		{"served while starved", []caller{{"a", 90, false}, {"b", 20, true}, {"b", 0.5, false}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, a, b := New(nil), caller{"a", 90, false}, caller{"b", 20, true}
			play(l, 60_000, c.before...)
			play(l, 6*objectiveMS, a, b)
			for range 1_000 {
				play(l, stepMS, a, b)
				assert.Equal(t, l.Standings().Of(GroupOf("q", "a")), Even)
			}
			assertCores(t, play(l, 120_000, a, caller{"b", 90, false}), "b", 6)
		})
	}
}

// TestManyOrigins guards against memory that grows with the number of origins, and against
// service that is lost when accounts are merged.
func TestManyOrigins(t *testing.T) {
	for _, c := range []struct {
		name   string
		atOnce int
	}{{"all at once", 3_000}, {"one after the other", 1}} {
		t.Run(c.name, func(t *testing.T) {
			l := New(nil)
			for i := 0; i < 3_000; i += c.atOnce {
				var demands []Demand
				for n := range c.atOnce {
					demands = append(demands, Demand{GroupOf("q", fmt.Sprintf("o%d", i+n)), 1, 1, objectiveMS})
				}
				l.Observe(l.at+stepMS, demands)
			}
			l.Observe(l.at+stepMS, nil)
			total := 0.0
			for _, g := range l.Groups() {
				total += g.Attained
			}
			assert.Equal(t, len(l.Groups()), maxGroups+1)
			assert.Equal(t, math.Round(total), 300.0)
			assert.Equal(t, l.Standings().Of(GroupOf("q", "new")), l.Standings().Of(Group{"q", Merged}))
		})
	}
}

// TestRestore guards against a successor that treats groups otherwise than its predecessor would
// have, since its clock differs or the record is damaged.
func TestRestore(t *testing.T) {
	callers := []caller{{"a", 90, false}, {"b", 0.5, false}, {"c", 20, true}}
	l := New(nil)
	play(l, 30_000, callers...)
	data, err := cbor.Marshal(l.Snapshot())
	assert.NilError(t, err)
	restore := func(t *testing.T, s Snapshot, at int64) *Ledger {
		t.Helper()
		next := New(nil)
		next.at = at
		next.Restore(s, at)
		return next
	}
	t.Run("with another clock", func(t *testing.T) {
		var s Snapshot
		assert.NilError(t, cbor.Unmarshal(data, &s))
		next := restore(t, s, 1e9)
		play(next, stepMS, slices.Clone(callers)...)
		play(l, stepMS, slices.Clone(callers)...)
		assert.DeepEqual(t, next.Standings(), l.Standings())
		assert.Equal(t, l.Standings().Of(GroupOf("q", "c")), Starved)
	})
	t.Run("service out of range", func(t *testing.T) {
		for _, x := range []float64{math.MaxFloat64, -1e300, maxService} {
			damaged := GroupSnapshot{Group: Group{"q", "a"}, Attained: math.Abs(x), Level: x, KeepMS: objectiveMS}
			next := restore(t, Snapshot{[]GroupSnapshot{damaged, damaged}}, 1e9)
			assertCores(t, play(next, 120_000, caller{"a", 90, false}, caller{"b", 90, false}), "b", 6)
			assertFinite(t, next)
		}
	})
	t.Run("damaged", func(t *testing.T) {
		s := Snapshot{[]GroupSnapshot{
			{Group: Group{"q", "a"}, Attained: math.NaN()},
			{Group: Group{"q", "b"}, Level: math.Inf(1)},
			{Group: Group{"", "c"}},
			{Group: Group{"q", "d"}, KeepMS: math.MaxInt64, Behind: true, FirstMS: math.MinInt64},
		}}
		for i := range 5_000 {
			s.Groups = append(s.Groups, GroupSnapshot{Group: Group{fmt.Sprintf("q%d", i), Merged}})
		}
		next := restore(t, s, 1e9)
		assert.Equal(t, len(next.accounts), 2*maxGroups)
		play(next, 60_000, caller{"d", 20, false}, caller{"b", 20, false})
		assertFinite(t, next)
	})
}

func assertFinite(t *testing.T, l *Ledger) {
	t.Helper()
	for _, g := range l.Groups() {
		for _, x := range []float64{g.Attained, g.Lag, g.Bound, g.Share, g.Cores} {
			assert.Assert(t, !math.IsNaN(x) && !math.IsInf(x, 0), "%+v", g)
		}
	}
}

// TestBadDemands guards against figures that make an account unusable for good.
func TestBadDemands(t *testing.T) {
	l := New(map[rudderfork.Domain]int{"a": -5})
	a, b := GroupOf("q", "a"), GroupOf("q", "b")
	for i, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64 / 1e9} {
		l.Observe(int64(1_000*i), []Demand{{a, -3, x, x}, {b, math.MaxInt, 1, x}})
		l.Observe(int64(10-i), []Demand{{a, 1, 1, x}})
	}
	assertFinite(t, l)
	l = New(nil)
	l.Observe(1, []Demand{{a, 1, math.NaN(), math.NaN()}, {b, 1, -1, -1}})
	assertCores(t, play(l, 60_000, caller{"a", 20, false}, caller{"b", 20, false}), "b", 6)
}
