package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

func newQueue(slots, queue int) *Queue {
	return New(Limits{Slots: slots, Queue: queue, MaxWait: time.Second}, 1)
}

func offer(q *Queue, id uint64, team string) []Decision {
	return q.Offer(Request{ID: id, Team: rudderfork.Team(team), Weight: 100}, t0)
}

func checkVerdicts(t *testing.T, ds []Decision, want ...string) {
	t.Helper()
	got := []string{}
	for _, r := range ds {
		got = append(got, fmt.Sprintf("%d %s", r.ID, [...]string{"start", "wait", "refuse"}[r.Verdict]))
	}
	assert.DeepEqual(t, got, append([]string{}, want...))
}

func TestSlotsAndQueue(t *testing.T) {
	q := newQueue(2, 1)
	checkVerdicts(t, offer(q, 1, "a"), "1 start")
	checkVerdicts(t, offer(q, 2, "a"), "2 start")
	checkVerdicts(t, offer(q, 3, "a"), "3 wait")
	checkVerdicts(t, offer(q, 4, "a"), "4 refuse")
	checkVerdicts(t, q.Done(1, time.Millisecond, t0), "3 start")
	checkVerdicts(t, q.Done(1, time.Millisecond, t0))
	assert.Equal(t, q.InFlight(), 2)
}

func TestDeadline(t *testing.T) {
	q := newQueue(1, 10)
	q.Offer(Request{ID: 1}, t0)
	t.Run("a request that cannot be answered in time is refused at once", func(t *testing.T) {
		checkVerdicts(t, q.Offer(Request{ID: 2, Deadline: t0.Add(time.Millisecond)}, t0), "2 refuse")
	})
	t.Run("a queued request is refused when it can no longer be answered in time", func(t *testing.T) {
		checkVerdicts(t, q.Offer(Request{ID: 3, Deadline: t0.Add(50 * time.Millisecond)}, t0), "3 wait")
		checkVerdicts(t, q.Expire(t0.Add(time.Millisecond)))
		checkVerdicts(t, q.Expire(t0.Add(49*time.Millisecond)), "3 refuse")
		assert.Equal(t, q.Queued(), 0)
	})
	t.Run("a request whose wait would exceed the target is refused", func(t *testing.T) {
		q := New(Limits{Slots: 1, Queue: 100, MaxWait: 12 * time.Millisecond}, 1)
		offer(q, 1, "a")
		checkVerdicts(t, offer(q, 2, "a"), "2 wait")
		checkVerdicts(t, offer(q, 3, "a"), "3 wait")
		checkVerdicts(t, offer(q, 4, "a"), "4 refuse")
	})
}

// TestFairness checks that when one team floods the queue, another team's request
// starts before the flood, and the full queue refuses requests of the flood.
func TestFairness(t *testing.T) {
	q := newQueue(1, 4)
	offer(q, 1, "flood")
	for id := uint64(2); id <= 5; id++ {
		checkVerdicts(t, offer(q, id, "flood"), fmt.Sprintf("%d wait", id))
	}
	checkVerdicts(t, offer(q, 6, "flood"), "6 refuse")
	checkVerdicts(t, offer(q, 7, "calm"), "7 wait", "5 refuse")
	order := []uint64{}
	running := uint64(1)
	for range 4 {
		ds := q.Done(running, time.Millisecond, t0)
		running = ds[0].ID
		order = append(order, running)
	}
	assert.Assert(t, order[0] == 7 || order[1] == 7, "the calm team waits behind the flood; the requests start in the order %v", order)
}

// TestWeights checks that two teams that both flood the queue get slots in
// proportion to their weights.
func TestWeights(t *testing.T) {
	q := New(Limits{Slots: 1, Queue: 1000, MaxWait: time.Hour}, 1)
	teams := map[uint64]string{}
	for id := uint64(1); id <= 400; id++ {
		team, w := "light", int64(100)
		if id%2 == 0 {
			team, w = "heavy", 300
		}
		teams[id] = team
		q.Offer(Request{ID: id, Team: rudderfork.Team(team), Weight: w}, t0)
	}
	heavy := 0
	running := uint64(1)
	for range 100 {
		ds := q.Done(running, time.Microsecond, t0)
		running = ds[0].ID
		if teams[running] == "heavy" {
			heavy++
		}
	}
	assert.Assert(t, heavy >= 73 && heavy <= 77, "%d of 100 slots went to the team with three quarters of the weight", heavy)
}

func TestRetryAt(t *testing.T) {
	q := newQueue(1, 1000)
	seen := map[time.Time]bool{}
	for id := uint64(1); id <= 100; id++ {
		offer(q, id, "a")
	}
	for range 20 {
		at := q.RetryAt(t0)
		assert.Assert(t, at.After(t0.Add(99*initialMean*1e9)), "the retry after %v is before the queue has drained", at.Sub(t0))
		seen[at] = true
	}
	assert.Assert(t, len(seen) > 15, "retries are not spread")
}

func TestCancel(t *testing.T) {
	q := newQueue(1, 10)
	offer(q, 1, "a")
	offer(q, 2, "a")
	assert.Assert(t, q.Cancel(2))
	assert.Assert(t, !q.Cancel(2))
	checkVerdicts(t, q.Done(1, 0, t0))
}
