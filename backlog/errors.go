package backlog

import (
	"cmp"
	"math"
	"slices"
)

const (
	// priorWeight is the number of observations for which the prior counts: jobs typically end
	// earlier than predicted by a factor of e, which is the error of submitters' estimates.
	priorWeight = 4.0
	priorVar    = 1.0
	// errorHalfLifeMS is the half-life of an observation, ms. It is that of the estimates of work
	// times (package worktime), whose errors make up most of the prediction's.
	errorHalfLifeMS = 60_000
	// maxLogError bounds one observation. Estimates may be wrong by 100 times.
	maxLogError = 5.0
	// maxQueues bounds the queues that are remembered, and so the size of a snapshot.
	maxQueues = 1_000
)

// QueueError is the prediction error of one queue: the logarithm of the observed over the predicted
// duration.
type QueueError struct {
	Queue   string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"` // number of observations, decayed
	Sum     float64 `cbor:"3,keyasint"` // of the errors, decayed
	Squares float64 `cbor:"4,keyasint"` // sum of the squares of the negative errors, decayed
	AgeMS   int64   `cbor:"5,keyasint"` // time since the last observation, ms
}

func (e QueueError) valid() bool {
	finite := func(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
	return e.Queue != "" && e.AgeMS >= 0 && finite(e.Weight) && e.Weight >= 0 && finite(e.Squares) && e.Squares >= 0 && finite(e.Sum)
}

// Errors holds the prediction errors of all queues.
type Errors struct {
	queues map[string]*errorSums
}

type errorSums struct {
	weight, sum, squares float64
	at                   int64 // time of the sums, Unix ms
}

// NewErrors returns an Errors without observations.
func NewErrors() *Errors { return &Errors{queues: map[string]*errorSums{}} }

// Observe adds an observed error of a queue at a time, Unix ms.
func (e *Errors) Observe(queue string, logError float64, now int64) {
	if math.IsNaN(logError) {
		return
	}
	s := e.queues[queue]
	if s == nil {
		e.dropOldest()
		s = &errorSums{at: now}
		e.queues[queue] = s
	}
	*s = s.decayed(now)
	logError = min(maxLogError, max(-maxLogError, logError))
	early := min(0, logError)
	s.weight++
	s.sum += logError
	s.squares += early * early
}

// dropOldest makes space for a further queue.
func (e *Errors) dropOldest() {
	if len(e.queues) < maxQueues {
		return
	}
	oldest := ""
	for name, s := range e.queues {
		if oldest == "" || cmp.Or(cmp.Compare(s.at, e.queues[oldest].at), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(e.queues, oldest)
}

func (s errorSums) decayed(now int64) errorSums {
	if age := now - s.at; age > 0 {
		left := math.Exp2(-float64(age) / errorHalfLifeMS)
		s.weight, s.sum, s.squares, s.at = s.weight*left, s.sum*left, s.squares*left, now
	}
	return s
}

// Estimate returns the mean of a queue's errors, and the root mean square of the negative ones, those
// of jobs that ended earlier than predicted. Errors in the other direction are much larger, since jobs
// that arrive later may go first, but they say nothing about how early a job may end.
func (e *Errors) Estimate(queue string, now int64) (mean, early float64) {
	s := errorSums{}
	if known := e.queues[queue]; known != nil {
		s = known.decayed(now)
	}
	n := s.weight + priorWeight
	return s.sum / n, math.Sqrt((s.squares + priorWeight*priorVar) / n)
}

// Snapshot returns the errors at a time, Unix ms, ordered by queue.
func (e *Errors) Snapshot(now int64) []QueueError {
	list := make([]QueueError, 0, len(e.queues))
	for name, s := range e.queues {
		list = append(list, QueueError{name, s.weight, s.sum, s.squares, max(0, now-s.at)})
	}
	slices.SortFunc(list, func(a, b QueueError) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}

// Restore replaces the errors by those of a snapshot, whose ages count from now, Unix ms. It leaves
// out invalid ones.
func (e *Errors) Restore(list []QueueError, now int64) {
	clear(e.queues)
	for _, q := range list {
		if q.valid() && len(e.queues) < maxQueues {
			e.queues[q.Queue] = &errorSums{q.Weight, q.Sum, q.Squares, now - q.AgeMS}
		}
	}
}
