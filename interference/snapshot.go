package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork/internal/regression"
)

const (
	// maxPairs bounds the pairs in a snapshot. The most certain ones are kept.
	maxPairs = 512
	// maxImageName bounds the names of images in a snapshot, in bytes, and so its size. Submitters
	// choose them.
	maxImageName = 64
	// maxPressure bounds the pressures that are restored. Observed ones are below 20.
	maxPressure = 1_000
)

// PairSnapshot is the pressure of a pair for a later process.
type PairSnapshot struct {
	Serving  string  `cbor:"1,keyasint"`
	Filler   string  `cbor:"2,keyasint"`
	Pressure float32 `cbor:"3,keyasint"`
	StdErr   float32 `cbor:"4,keyasint"` // at the time of the snapshot
}

// Changes returns the number of observations. While it stays the same, so does the model, except
// for priors.
func (p *PressureModel) Changes() uint64 { return p.changes }

// Snapshot returns the pressures that are more certain than the prior, of images with names of usual
// length.
func (p *PressureModel) Snapshot(now time.Time) (list []PairSnapshot) {
	for serving, f := range p.fits {
		for filler, i := range f.index {
			variance := f.reg.Variance(i)
			if !f.at.IsZero() {
				variance *= regression.Growth(max(0, now.Sub(f.at)), pressureHalfLife)
			}
			s := PairSnapshot{Serving: serving, Filler: filler, Pressure: float32(f.reg.Beta(i)), StdErr: float32(math.Sqrt(variance))}
			if s.valid() && s.StdErr < priorError {
				list = append(list, s)
			}
		}
	}
	slices.SortFunc(list, func(a, b PairSnapshot) int {
		return cmp.Or(cmp.Compare(a.StdErr, b.StdErr), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	return list[:min(len(list), maxPairs)]
}

// Restore adds pairs of a snapshot of the given age to a model without observations. It returns how
// many were added, and how many were invalid.
func (p *PressureModel) Restore(list []PairSnapshot, age time.Duration, now time.Time) (restored, invalid int) {
	for i := range list[:min(len(list), maxPairs)] {
		s := &list[i]
		if !s.valid() {
			invalid++
			continue
		}
		f := p.fit(s.Serving)
		if _, known := f.index[s.Filler]; known {
			continue
		}
		variance := float64(s.StdErr) * float64(s.StdErr) * regression.Growth(age, pressureHalfLife)
		f.index[s.Filler] = f.reg.Grow(float64(s.Pressure), min(priorError*priorError, variance))
		f.at = now
		if f.restored == nil {
			f.restored = map[string]bool{}
		}
		f.restored[s.Filler] = true
		restored++
	}
	return restored, invalid
}

func (s *PairSnapshot) valid() bool {
	return len(s.Serving) <= maxImageName && len(s.Filler) <= maxImageName &&
		s.Pressure >= 0 && s.Pressure <= maxPressure && s.StdErr > 0 && s.StdErr <= priorError
}
