// Package admission decides which requests an agent passes to its upstream, in
// which order, and which it refuses.
//
// An upstream has a fixed number of slots. Further requests wait in a bounded
// queue, ordered by start-time fair queueing over teams with the weights of the
// table, so that a team that sends too many requests waits behind its own requests. A
// request is refused at once when it cannot be answered by its deadline, when
// its wait would exceed the service's target, or when the queue is full and it
// is the last in the fair order. A refusal gives the time for a retry: when the
// queue is expected to have drained, with jitter so that callers don't all retry at
// once.
//
// Queue does no I/O and starts no timers; the agent passes the time.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// Limits are the limits that the table sets for a service.
type Limits struct {
	Slots   int           // maximum number of requests at the upstream at a time
	Queue   int           // maximum number of requests that wait
	MaxWait time.Duration // maximum expected wait: the service's latency target
}

// Request is a request to be admitted.
type Request struct {
	ID       uint64
	Team     rudderfork.Team
	Weight   int64     // of the team
	Deadline time.Time // zero for none
}

// Verdict is the outcome of admission for a request.
type Verdict uint8

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Decision is the verdict on one request. Reason and RetryAt, the time for a retry,
// are set for refusals only.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Reason  string
	RetryAt time.Time
}

// Queue decides on the requests of one service at one upstream. It is not safe
// for concurrent use.
type Queue struct {
	limits      Limits
	rng         *rand.Rand
	running     map[uint64]bool             // requests that hold a slot, by ID
	waiting     []*waiting                  // ordered by start tag
	virtualTime float64                     // highest start tag of the requests started
	finish      map[rudderfork.Team]float64 // finish tag of each team's last queued request
	mean        float64                     // moving average of the service time, seconds
}

// waiting is a queued request with its start tag.
type waiting struct {
	Request
	startTag float64
}

const (
	// initialMean is the mean service time assumed before any was measured, in
	// seconds.
	initialMean = 0.005
	// meanWeight is the weight of a new service time in the moving average.
	meanWeight = 0.1
	// maxRetrySpread is the maximum jitter of a retry, as a multiple of the expected
	// wait.
	maxRetrySpread = 2.0
	// minRetryDelay is the minimum delay of a retry.
	minRetryDelay = 50 * time.Millisecond
	// maxTeams is the number of teams with finish tags above which all tags are
	// dropped, to bound memory.
	maxTeams = 1024
)

// New returns an empty queue. seed seeds the jitter of retries.
func New(l Limits, seed uint64) *Queue {
	return &Queue{
		limits: l, rng: rand.New(rand.NewPCG(seed, 5)), running: map[uint64]bool{},
		finish: map[rudderfork.Team]float64{}, mean: initialMean,
	}
}

// SetLimits changes the limits. Requests that hold a slot or wait are not affected.
func (q *Queue) SetLimits(l Limits) { q.limits = l }

// InFlight returns how many requests hold a slot.
func (q *Queue) InFlight() int { return len(q.running) }

// Queued returns how many requests wait.
func (q *Queue) Queued() int { return len(q.waiting) }

// MeanServiceTime returns the moving average of the time that a request takes at
// the upstream.
func (q *Queue) MeanServiceTime() time.Duration { return time.Duration(q.mean * float64(time.Second)) }

// Offer requests admission for r. It returns the decision on r and, if r displaces
// another request from a full queue, that on the displaced one.
func (q *Queue) Offer(r Request, now time.Time) []Decision {
	if len(q.running) < q.limits.Slots && len(q.waiting) == 0 {
		if reason := q.missedDeadline(r, 0, now); reason != "" {
			return []Decision{q.refuse(r.ID, reason, now)}
		}
		q.start(r.ID, q.startTag(r))
		return []Decision{{ID: r.ID, Verdict: Start}}
	}
	return q.enqueue(r, now)
}

func (q *Queue) enqueue(r Request, now time.Time) []Decision {
	tag := q.startTag(r)
	at, _ := slices.BinarySearchFunc(q.waiting, tag, func(w *waiting, t float64) int {
		if w.startTag <= t {
			return -1
		}
		return 1
	})
	wait := q.waitAt(at)
	if wait > q.limits.MaxWait {
		return []Decision{q.refuse(r.ID, "the wait would exceed the service's target", now)}
	}
	if reason := q.missedDeadline(r, wait, now); reason != "" {
		return []Decision{q.refuse(r.ID, reason, now)}
	}
	if len(q.waiting) >= q.limits.Queue && at == len(q.waiting) {
		return []Decision{q.refuse(r.ID, "the queue is full", now)}
	}
	q.finish[r.Team] = tag + cost(r)
	q.waiting = slices.Insert(q.waiting, at, &waiting{r, tag})
	decisions := []Decision{{ID: r.ID, Verdict: Wait}}
	if len(q.waiting) > q.limits.Queue {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		decisions = append(decisions, q.refuse(last.ID, "the queue is full and other teams are owed more", now))
	}
	return decisions
}

// startTag returns the request's start tag: the queue's virtual time, or the
// finish tag of the team's last request if that is later.
func (q *Queue) startTag(r Request) float64 {
	if len(q.finish) > maxTeams {
		clear(q.finish)
	}
	return max(q.virtualTime, q.finish[r.Team])
}

// cost returns the difference between the start and finish tags of r, which is
// inversely proportional to its weight.
func cost(r Request) float64 { return 1 / float64(max(1, r.Weight)) }

func (q *Queue) start(id uint64, tag float64) {
	q.running[id] = true
	q.virtualTime = max(q.virtualTime, tag)
}

// waitAt returns the expected wait of a request at the given index of the queue.
func (q *Queue) waitAt(at int) time.Duration {
	turns := float64(at+1) / float64(max(1, q.limits.Slots))
	return time.Duration(turns * q.mean * float64(time.Second))
}

// missedDeadline returns the reason to refuse r if it could not be answered by its
// deadline after the wait, or "".
func (q *Queue) missedDeadline(r Request, wait time.Duration, now time.Time) string {
	if r.Deadline.IsZero() || !now.Add(wait+q.MeanServiceTime()).After(r.Deadline) {
		return ""
	}
	return "it could not be answered by its deadline"
}

func (q *Queue) refuse(id uint64, reason string, now time.Time) Decision {
	return Decision{ID: id, Verdict: Refuse, Reason: reason, RetryAt: q.RetryAt(now)}
}

// RetryAt returns the time for a retry: when the queue is expected to have
// drained, with jitter.
func (q *Queue) RetryAt(now time.Time) time.Time {
	wait := max(minRetryDelay, q.waitAt(len(q.waiting)))
	return now.Add(wait + time.Duration(q.rng.Float64()*maxRetrySpread*float64(wait)))
}

// Done frees the slot of a request and returns the decisions on queued requests.
// took is the service time, or 0 if it must not count in the mean.
func (q *Queue) Done(id uint64, took time.Duration, now time.Time) []Decision {
	if !q.running[id] {
		return nil
	}
	delete(q.running, id)
	if took > 0 {
		q.mean += meanWeight * (took.Seconds() - q.mean)
	}
	return q.next(now)
}

// next starts queued requests while slots are free, and refuses those that would
// miss their deadline.
func (q *Queue) next(now time.Time) []Decision {
	var ds []Decision
	for len(q.waiting) > 0 && len(q.running) < q.limits.Slots {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		if reason := q.missedDeadline(w.Request, 0, now); reason != "" {
			ds = append(ds, q.refuse(w.ID, reason, now))
			continue
		}
		q.start(w.ID, w.startTag)
		ds = append(ds, Decision{ID: w.ID, Verdict: Start})
	}
	return ds
}

// Cancel removes a queued request, whose client has disconnected. ok is false if it
// is not queued.
func (q *Queue) Cancel(id uint64) (ok bool) {
	i := slices.IndexFunc(q.waiting, func(w *waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Expire refuses queued requests that can no longer be answered by their
// deadline.
func (q *Queue) Expire(now time.Time) []Decision {
	var ds []Decision
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool {
		reason := q.missedDeadline(w.Request, 0, now)
		if reason != "" {
			ds = append(ds, q.refuse(w.ID, reason, now))
		}
		return reason != ""
	})
	return ds
}
