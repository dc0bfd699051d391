// Package admission decides which requests an agent passes to its upstream, in
// which order, and which it refuses.
//
// An upstream has a fixed number of slots. Requests beyond that wait in a
// bounded queue, ordered by start-time fair queueing over teams with the weights
// of the table, so that a team that floods waits behind its own requests. A
// request is refused at once when it cannot be answered by its deadline, when
// the wait would exceed the service's target, or when the queue is full and it
// is the one that fairness would serve last. A refusal says when to come back:
// after the queue has drained, spread out so that callers do not return
// together.
//
// Queue does no I/O and starts no timers; the agent tells it the time.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// Limits are those that the table sets for a service.
type Limits struct {
	Slots   int
	Queue   int
	MaxWait time.Duration // longest wait that is worth it; the service's target
}

// Request is one request that asks to be admitted.
type Request struct {
	ID       uint64
	Team     rudderfork.Team
	Weight   int64
	Deadline time.Time
}

// Verdict is what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Decision is a verdict on one request, with the reason of a refusal.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  string
	RetryAt time.Time
}

// Queue is the admission of one service at one upstream. It is not safe for
// concurrent use.
type Queue struct {
	limits  Limits
	rng     *rand.Rand
	running map[uint64]bool
	waiting []*waiting // by tag
	virtual float64    // start tag of the request started last
	finish  map[rudderfork.Team]float64
	mean    float64 // moving average of the time in the upstream, seconds
}

// waiting is a queued request with its tag.
type waiting struct {
	Request
	start float64
}

const (
	// firstMean is assumed before anything was measured, in seconds.
	firstMean = 0.005
	// smoothing is the weight of a new time in the moving average.
	smoothing = 0.1
	// maxSpread bounds how far refusals are spread, as a multiple of the wait.
	maxSpread = 2.0
	// minRetry is the least time after which to come back.
	minRetry = 50 * time.Millisecond
	// maxTeams bounds the tags remembered of teams that are not waiting.
	maxTeams = 1024
)

// New returns an empty queue.
func New(l Limits, seed uint64) *Queue {
	return &Queue{
		limits: l, rng: rand.New(rand.NewPCG(seed, 5)), running: map[uint64]bool{},
		finish: map[rudderfork.Team]float64{}, mean: firstMean,
	}
}

// SetLimits changes the limits. Requests that run are not touched.
func (q *Queue) SetLimits(l Limits) { q.limits = l }

// InFlight returns how many requests hold a slot.
func (q *Queue) InFlight() int { return len(q.running) }

// Queued returns how many requests wait.
func (q *Queue) Queued() int { return len(q.waiting) }

// MeanServiceTime returns the moving average of the time in the upstream.
func (q *Queue) MeanServiceTime() time.Duration { return time.Duration(q.mean * float64(time.Second)) }

// Offer asks for admission. The rulings are on r and, where r displaces one, on
// the displaced request.
func (q *Queue) Offer(r Request, now time.Time) []Decision {
	if len(q.running) < q.limits.Slots && len(q.waiting) == 0 {
		if late := q.late(r, 0, now); late != "" {
			return []Decision{q.refuse(r.ID, late, now)}
		}
		q.start(r.ID, q.tag(r))
		return []Decision{{ID: r.ID, Verdict: Start}}
	}
	return q.enqueue(r, now)
}

func (q *Queue) enqueue(r Request, now time.Time) []Decision {
	tag := q.tag(r)
	at, _ := slices.BinarySearchFunc(q.waiting, tag, func(w *waiting, t float64) int {
		if w.start <= t {
			return -1
		}
		return 1
	})
	wait := q.waitAt(at)
	if wait > q.limits.MaxWait {
		return []Decision{q.refuse(r.ID, "the wait would exceed the service's target", now)}
	}
	if late := q.late(r, wait, now); late != "" {
		return []Decision{q.refuse(r.ID, late, now)}
	}
	if len(q.waiting) >= q.limits.Queue && at == len(q.waiting) {
		return []Decision{q.refuse(r.ID, "the queue is full", now)}
	}
	q.finish[r.Team] = tag + cost(r)
	q.waiting = slices.Insert(q.waiting, at, &waiting{r, tag})
	rulings := []Decision{{ID: r.ID, Verdict: Wait}}
	if len(q.waiting) > q.limits.Queue {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		rulings = append(rulings, q.refuse(last.ID, "the queue is full and other teams are owed more", now))
	}
	return rulings
}

// tag is the request's start tag: the queue's virtual time, or where the team's
// last request ends if that is later.
func (q *Queue) tag(r Request) float64 {
	if len(q.finish) > maxTeams {
		clear(q.finish)
	}
	return max(q.virtual, q.finish[r.Team])
}

func cost(r Request) float64 { return 1 / float64(max(1, r.Weight)) }

func (q *Queue) start(id uint64, tag float64) {
	q.running[id] = true
	q.virtual = max(q.virtual, tag)
}

// waitAt is the expected wait of the request at place at of the queue.
func (q *Queue) waitAt(at int) time.Duration {
	turns := float64(at+1) / float64(max(1, q.limits.Slots))
	return time.Duration(turns * q.mean * float64(time.Second))
}

func (q *Queue) late(r Request, wait time.Duration, now time.Time) string {
	if r.Deadline.IsZero() || !now.Add(wait+q.MeanServiceTime()).After(r.Deadline) {
		return ""
	}
	return "it could not be answered by its deadline"
}

func (q *Queue) refuse(id uint64, reason string, now time.Time) Decision {
	return Decision{ID: id, Verdict: Refuse, Reason: reason, RetryAt: q.RetryAt(now)}
}

// RetryAt is when to come back: once the queue has drained, spread out.
func (q *Queue) RetryAt(now time.Time) time.Time {
	wait := max(minRetry, q.waitAt(len(q.waiting)))
	return now.Add(wait + time.Duration(q.rng.Float64()*maxSpread*float64(wait)))
}

// Done notes that a request left its slot after took, and returns the rulings
// on those that wait. took is 0 if it says nothing about the upstream.
func (q *Queue) Done(id uint64, took time.Duration, now time.Time) []Decision {
	if !q.running[id] {
		return nil
	}
	delete(q.running, id)
	if took > 0 {
		q.mean += smoothing * (took.Seconds() - q.mean)
	}
	return q.next(now)
}

// next starts what has a slot and refuses what has become too late.
func (q *Queue) next(now time.Time) []Decision {
	var rs []Decision
	for len(q.waiting) > 0 && len(q.running) < q.limits.Slots {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if late := q.late(w.Request, 0, now); late != "" {
			rs = append(rs, q.refuse(w.ID, late, now))
			continue
		}
		q.start(w.ID, w.start)
		rs = append(rs, Decision{ID: w.ID, Verdict: Start})
	}
	return rs
}

// Cancel removes a request whose caller has gone; ok is false if it does not
// wait any more.
func (q *Queue) Cancel(id uint64) (ok bool) {
	i := slices.IndexFunc(q.waiting, func(w *waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Expire refuses those that wait and can no longer make their deadline.
func (q *Queue) Expire(now time.Time) []Decision {
	var rs []Decision
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool {
		late := q.late(w.Request, 0, now)
		if late != "" {
			rs = append(rs, q.refuse(w.ID, late, now))
		}
		return late != ""
	})
	return rs
}
