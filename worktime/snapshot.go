package worktime

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork/internal/regression"
)

const (
	// maxQueues bounds the queues in a snapshot. The last observed ones are kept.
	maxQueues = 256
	// maxCoefficient bounds the coefficients that are restored, so that no estimate is infinite. An
	// offset of 10 is a correction by a factor of 22,000.
	maxCoefficient = 10
	// maxAgeMS bounds the ages that are restored, so that times do not overflow.
	maxAgeMS = 1e11
	// coefficients is the number of coefficients of a line. A snapshot holds their variances
	// without the covariance. A covariance matrix of n rows is at most n times its diagonal, so
	// the variances are multiplied by n when they are restored.
	coefficients = 2
)

// LineSnapshot is the line of a queue for a later process.
type LineSnapshot struct {
	Queue        string     `cbor:"1,keyasint"`
	Coefficients [2]float32 `cbor:"2,keyasint"` // offset, slope
	Variances    [2]float32 `cbor:"3,keyasint"` // as of the newest observation
	AgeMS        int64      `cbor:"4,keyasint"` // from the newest observation to the snapshot
}

// Snapshot returns the lines of the queues.
func (m *Model) Snapshot(now time.Time) (list []LineSnapshot) {
	for name, l := range m.queues {
		s := LineSnapshot{Queue: name, AgeMS: max(0, now.Sub(l.at).Milliseconds())}
		for i := range coefficients {
			s.Coefficients[i], s.Variances[i] = float32(l.fit.Beta(i)), float32(l.fit.Variance(i))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b LineSnapshot) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Queue, b.Queue))
	})
	return list[:min(len(list), maxQueues)]
}

// Restore adds lines of a snapshot of the given age to a model without observations. It returns how
// many were added, and how many were invalid.
func (m *Model) Restore(list []LineSnapshot, age time.Duration, now time.Time) (restored, invalid int) {
	for i := range list[:min(len(list), maxQueues)] {
		s := &list[i]
		if !s.valid() {
			invalid++
			continue
		}
		l := &queueLine{at: now}
		growth := coefficients * regression.Growth(age+time.Duration(s.AgeMS)*time.Millisecond, halfLife)
		for i, prior := range [...]float64{offsetVar, slopeVar} {
			l.fit.Grow(float64(s.Coefficients[i]), min(prior, float64(s.Variances[i])*growth))
		}
		m.queues[s.Queue] = l
		restored++
	}
	return restored, invalid
}

func (s *LineSnapshot) valid() bool {
	for i := range coefficients {
		c, v := float64(s.Coefficients[i]), float64(s.Variances[i])
		// The negated comparisons are also true of NaN.
		if !(math.Abs(c) <= maxCoefficient) || !(v > 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return s.Queue != "" && s.AgeMS >= 0 && s.AgeMS <= maxAgeMS
}
