package queue

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestJobKeptByStateClock checks that a finished job is kept for KeepMS whatever the clocks of
// the leaders show.
func TestJobKeptByStateClock(t *testing.T) {
	const keep, step = 120_000, 500
	// ended returns a state with a job that was cancelled at a time of the leader's clock.
	ended := func(t *testing.T, at int64) *State {
		s := New()
		assert.Equal(t, s.Apply(Command{Document: &Document{
			Version: 1, Queues: []Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 1}}, Pools: []Pool{{Service: "desk"}},
		}}, at).Code, OK)
		submitKept(t, s, "old", keep, at)
		assert.Equal(t, s.Apply(Command{Cancel: &Cancel{Host: testHost, Path: "/q/old"}}, at).Code, OK)
		return s
	}
	// work lets a leader commit commands for a span of its clock.
	work := func(t *testing.T, s *State, from, span int64) {
		for at := from; at <= from+span; at += step {
			submitKept(t, s, "new", keep, at)
		}
	}
	t.Run("not early where the next leader's clock is minutes ahead", func(t *testing.T) {
		s := ended(t, 1_000)
		work(t, s, 1_000+10*keep, keep/2)
		assert.Assert(t, s.Job("old") != nil)
	})
	t.Run("not early where the clock jumps back and forth", func(t *testing.T) {
		s := ended(t, 1_000)
		for range 5 {
			submitKept(t, s, "new", keep, 1_000+10*keep)
			submitKept(t, s, "new", keep, 1_000)
		}
		assert.Assert(t, s.Job("old") != nil)
	})
	t.Run("at last also where the next leader's clock is behind", func(t *testing.T) {
		s := ended(t, 20*keep)
		work(t, s, 1_000, 2*keep)
		assert.Assert(t, s.Job("old") == nil)
	})
	t.Run("at the same time after a snapshot", func(t *testing.T) {
		s := ended(t, 1_000)
		work(t, s, 1_000, keep-10_000)
		s = Restore(s.Snapshot())
		assert.Assert(t, s.Job("old") != nil)
		work(t, s, 1_000+keep, 30_000)
		assert.Assert(t, s.Job("old") == nil)
	})
}

// submitKept submits a job, possibly again.
func submitKept(t *testing.T, s *State, id string, keep, at int64) {
	t.Helper()
	spec := Spec{Steps: []Step{{Count: 1}}}
	assert.Equal(t, s.Apply(Command{Submit: &Submit{Host: testHost, Path: "/q/" + id, Spec: spec, KeepMS: keep}}, at).Code, OK)
}
