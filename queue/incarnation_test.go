package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// TestRestartUnderSameID checks that nothing recorded of an incarnation applies to the next one
// with the same executor ID.
func TestRestartUnderSameID(t *testing.T) {
	first, second := rudderfork.IncarnationName("i-1", 1000), rudderfork.IncarnationName("i-1", 2000)
	s := New()
	apply := func(c Command) Result { return s.Apply(c, 1) }
	apply(Command{Document: &Document{
		Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 3}}, Pools: []Pool{{Service: "desk"}},
	}})
	apply(Command{Submit: &Submit{Host: "h", Path: "/q/j", Spec: Spec{Steps: []Step{{Count: 1}}}}})
	k := TaskKey{Job: "j"}
	start := func(inc string) uint32 {
		return apply(Command{Starts: []Start{{Task: k, VM: "vm1", Incarnation: inc}}}).Numbers[0]
	}
	apply(Command{Register: &VM{ID: "vm1", Incarnation: first, Service: "desk"}})
	assert.Equal(t, start(first), uint32(1))
	epoch := s.VM("vm1").Epoch

	seen := &Crash{Incarnation: first, Runs: []RunAge{{Task: k, Run: 1, AgeMS: 5, Confirmed: true}}}
	res := apply(Command{Register: &VM{ID: "vm1", Incarnation: second, Service: "desk"}, Crash: seen})
	t.Run("the run ended, and the crash is counted", func(t *testing.T) {
		assert.Equal(t, len(res.LostRuns), 1)
		assert.Equal(t, s.Job("j").Task(k).PromptCrashes, 1)
	})
	t.Run("the epoch rises", func(t *testing.T) { assert.Assert(t, s.VM("vm1").Epoch > epoch) })
	t.Run("a start for the previous incarnation is refused", func(t *testing.T) {
		assert.Equal(t, start(first), uint32(0))
		assert.Equal(t, start(second), uint32(2))
	})
	t.Run("late messages of the previous incarnation change nothing", func(t *testing.T) {
		late := apply(Command{Ends: &Ends{VM: "vm1", Incarnation: first, List: []End{{Task: k, Run: 2, Outcome: OutcomeDone}}}})
		assert.Assert(t, !late.Accepted[0])
		assert.Equal(t, apply(Command{Lost: &VMLoss{VM: "vm1", Incarnation: first, Departed: true}}).Code, Stale)
		apply(Command{Upkeep: &UpkeepReport{Wave: 1, Machine: "m", Incarnation: first}})
		assert.Assert(t, s.VM("vm1").Live && !s.VM("vm1").Leaving)
		assert.Equal(t, len(s.VM("vm1").Runs()), 1)
	})
}

// TestIncarnationNameGainsStartTime checks an agent that adds the start time to the name of an
// incarnation that an agent of an earlier release registered by its executor ID alone. It may be the
// same incarnation, so its runs must not be ended. If it is the next one, the leader's orders start
// the runs again.
func TestIncarnationNameGainsStartTime(t *testing.T) {
	named := rudderfork.IncarnationName("i-1", 1000)
	for _, x := range []struct {
		before, after string
		same          bool
	}{{"i-1", named, true}, {named, "i-1", false}, {"i-2", named, false}} {
		s := New()
		apply := func(c Command) Result { return s.Apply(c, 1) }
		apply(Command{Document: &Document{
			Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 3}}, Pools: []Pool{{Service: "desk"}},
		}})
		apply(Command{Submit: &Submit{Host: "h", Path: "/q/j", Spec: Spec{Steps: []Step{{Count: 1}}}}})
		apply(Command{Register: &VM{ID: "vm1", Incarnation: x.before, Service: "desk"}})
		apply(Command{Starts: []Start{{Task: TaskKey{Job: "j"}, VM: "vm1", Incarnation: x.before}}})
		epoch := s.VM("vm1").Epoch
		res := apply(Command{Register: &VM{ID: "vm1", Incarnation: x.after, Service: "desk"}})
		assert.Equal(t, s.VM("vm1").Incarnation, x.after)
		assert.Equal(t, len(res.LostRuns) == 0, x.same, "%v", x)
		assert.Equal(t, s.VM("vm1").Epoch == epoch, x.same, "%v", x)
	}
}

// TestUnresolvedLossOfIncarnation checks how the loss of a VM with an active run is resolved: if the
// VM registers the next incarnation, its executor had crashed; if the same one, it had not.
func TestUnresolvedLossOfIncarnation(t *testing.T) {
	first, second := rudderfork.IncarnationName("i-1", 1000), rudderfork.IncarnationName("i-1", 2000)
	k := TaskKey{Job: "j"}
	for back, crashes := range map[string]int{first: 0, second: 1} {
		s := New()
		apply := func(c Command) Result { return s.Apply(c, 1) }
		apply(Command{Document: &Document{
			Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 3}}, Pools: []Pool{{Service: "desk"}},
		}})
		apply(Command{Submit: &Submit{Host: "h", Path: "/q/j", Spec: Spec{Steps: []Step{{Count: 1}}}}})
		apply(Command{Register: &VM{ID: "vm1", Incarnation: first, Service: "desk"}})
		apply(Command{Starts: []Start{{Task: k, VM: "vm1", Incarnation: first}}})
		seen := &Crash{Incarnation: first, Runs: []RunAge{{Task: k, Run: 1, AgeMS: 5, Confirmed: true}}}
		apply(Command{Lost: &VMLoss{VM: "vm1", Incarnation: first, Crash: seen}})
		assert.Equal(t, s.Job("j").Task(k).UnresolvedLosses, 1)
		apply(Command{Register: &VM{ID: "vm1", Incarnation: back, Service: "desk"}})
		assert.Equal(t, s.Job("j").Task(k).UnresolvedLosses, 0)
		assert.Equal(t, s.Job("j").Task(k).Crashes, crashes, back)
	}
}
