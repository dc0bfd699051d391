package vmspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	fullPercent = 100
	// informativePercent is the expected progress from which on a rate counts fully. Progress
	// is reported in whole percents.
	informativePercent = 20
	// minWorkedMS is the shortest work time from which a rate is computed, ms. Executors are
	// polled four times a second.
	minWorkedMS = 200
	// maxRunAge is how long a run counts after its last report. It then has a sixteenth of its weight.
	maxRunAge = 4 * runHalfLife
)

// runRate is the recent progress of a run.
type runRate struct {
	vm       *vmEstimate
	step     *stepRuns
	percent  int       // newest
	workedMS float64   // newest
	at       time.Time // time of the newest report; zero before the first

	progress, worked float64 // decayed sums of progress in percent and of work time in ms
}

// advance adds a report. Percents are limited to 0 to 100. A run whose progress or work time
// goes back begins anew, and one at 100 has nothing more to report.
func (r *runRate) advance(p Progress, at time.Time) {
	percent := min(fullPercent, max(0, p.Percent))
	switch {
	case r.at.IsZero(), percent < r.percent, p.WorkedMS < r.workedMS:
		r.progress, r.worked = 0, 0
	case r.percent == fullPercent:
		return
	default:
		f := fade(r.at, at, runHalfLife)
		r.progress = r.progress*f + float64(percent-r.percent)
		r.worked = r.worked*f + p.WorkedMS - r.workedMS
	}
	r.percent, r.workedMS, r.at = percent, p.WorkedMS, at
}

// log returns the logarithm of the rate, in percent per ms. Without progress half a percent is
// assumed, the largest that would not be reported on average.
func (r *runRate) log() float64 { return math.Log(max(0.5, r.progress) / r.worked) }

// weight returns how much the rate counts at a time, 0 to 1. It is less if little progress is to be
// expected in the observed work time.
func (r *runRate) weight(at time.Time) float64 {
	if r.worked < minWorkedMS {
		return 0
	}
	return fade(r.at, at, runHalfLife) * min(1, r.worked/r.step.expectedMS*fullPercent/informativePercent)
}

// sample is a value with a weight.
type sample struct{ value, weight float64 }

// median returns the weighted median of samples, and sorts them.
func median(list []sample) float64 {
	slices.SortFunc(list, func(a, b sample) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight)) })
	half, below := sumOf(list)/2, 0.0
	for _, s := range list {
		below += s.weight
		if below >= half {
			return s.value
		}
	}
	return 0
}

// sumOf returns the sum of the weights of samples.
func sumOf(list []sample) (sum float64) {
	for _, s := range list {
		sum += s.weight
	}
	return sum
}

// samples returns the logarithms of the speeds that the runs of a VM show. Runs of one step share the
// error of the rate that they are compared with, so they count less than as many of different steps.
func (v *vmEstimate) samples(at time.Time) (list []sample) {
	groups := map[*stepRuns][]sample{}
	for _, r := range v.runs {
		if weight := r.weight(at); weight > 0 {
			groups[r.step] = append(groups[r.step], sample{r.log(), weight})
		}
	}
	for st, group := range groups {
		usual, variance := st.usualRate(v, at)
		share := 1 / (1 + float64(len(group))*variance/taskVar)
		for _, s := range group {
			list = append(list, sample{min(maxLog, max(-maxLog, s.value-usual)), s.weight * share})
		}
	}
	return list
}

// usualRate returns the logarithm of the rate of the step's tasks, in percent per ms, with its
// variance. It is the median of the tasks on VMs other than v and the expected rate.
func (st *stepRuns) usualRate(v *vmEstimate, at time.Time) (log, variance float64) {
	all := taskVar / stepVar
	list := []sample{{math.Log(fullPercent / st.expectedMS), all}}
	for _, r := range st.runs {
		if weight := r.weight(at); r.vm != v && weight > 0 {
			list = append(list, sample{r.log(), weight})
			all += weight
		}
	}
	return median(list), taskVar / all
}
