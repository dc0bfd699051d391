package dispatch

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
)

// maxShortTasks and maxShortCPU bound the numbers of tasks and the thousandths of a core that are
// restored. They are far above what runs on the largest fleet.
const maxShortTasks, maxShortCPU = 1e6, 1e9

// DemandSnapshot is a ShortDemand for a later process.
type DemandSnapshot struct {
	Tasks  float64 `cbor:"1,keyasint"`
	Spread float64 `cbor:"2,keyasint"`
	CPU    float64 `cbor:"3,keyasint"`
	AgeMS  int64   `cbor:"4,keyasint"` // from the latest plan to the snapshot
}

// Snapshot returns the demand for a later process; ok is false before the first plan. It is
// rounded, so that it becomes constant when there are no short tasks.
func (d *ShortDemand) Snapshot(now time.Time) (s DemandSnapshot, ok bool) {
	return DemandSnapshot{
		Tasks: roundTenth(d.tasks), Spread: roundTenth(d.spread), CPU: math.Round(d.cpu), AgeMS: max(0, rudderfork.Millis(now)-d.at),
	}, d.at != 0
}

func roundTenth(f float64) float64 { return math.Round(10*f) / 10 }

// Restore replaces the demand by that of a snapshot of the given age. The demand stays unknown if
// the latest plan is older than the half-life of an observation. The results are the numbers of
// demands that were restored and that were invalid, of which one is 1 at most.
func (d *ShortDemand) Restore(s DemandSnapshot, age time.Duration, now time.Time) (restored, invalid int) {
	if !isWithin(s.Tasks, maxShortTasks) || !isWithin(s.Spread, maxShortTasks) || !isWithin(s.CPU, maxShortCPU) || s.AgeMS < 0 {
		return 0, 1
	}
	if s.AgeMS > shortHalfLifeMS || age.Milliseconds()+s.AgeMS > shortHalfLifeMS {
		return 0, 0
	}
	*d = ShortDemand{at: rudderfork.Millis(now.Add(-age)) - s.AgeMS, tasks: s.Tasks, spread: s.Spread, cpu: s.CPU}
	return 1, 0
}

// isWithin reports whether f is from 0 to most, which NaN is not.
func isWithin(f, most float64) bool { return f >= 0 && f <= most }
