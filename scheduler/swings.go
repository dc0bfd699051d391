package scheduler

import (
	"math"
	"time"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// figureAge is how old the middle of what a figure tells of is when its heartbeat comes:
	// executors take figures over half a second, and agents look four times a second.
	figureAge = 350 * time.Millisecond
	// foreseen is for how long a filler's place is to be good: about as long as usual ones
	// work. Later ones are paced by what is seen then.
	foreseen = 1500 * time.Millisecond
	// leastAhead is the least change of a forecast for which a VM is weighed anew.
	leastAhead = 0.05
)

// observeSwings takes a VM's figures for the waves of the load on its serving steps: the
// headrooms without what the fillers beside them took.
func (f *fleet) observeSwings(s *queue.State, c workload, b wire.VMHeartbeat, now time.Time) {
	if !b.Measured {
		return
	}
	for _, fig := range c.figures {
		k, err := queue.ParseTaskKey(string(fig.Run.Task))
		if err != nil {
			continue // not a run of ours
		}
		own := fig.Headroom
		for image, share := range b.FillerUsage {
			pressure, _ := f.pressures.model.Of(fig.Image, image, now)
			own += pressure * share
		}
		f.swings.Observe(s.CurrentQueue(s.Job(k.Job)).Name, k.StepKey(), own, now.Add(-figureAge))
	}
}

// updateForecasts notes how the headrooms of a VM's serving tasks will have changed while a filler
// that begins now works.
func (f *fleet) updateForecasts(s *queue.State, v *vmInfo, now time.Time) {
	for k, r := range v.runs {
		j := s.Job(k.Job)
		if j == nil || j.Spec.Steps[k.Step].TailMS == 0 {
			continue
		}
		ahead := 0.0
		if w, ok := f.swings.Forecast(s.CurrentQueue(j).Name, k.StepKey(), now); ok {
			ahead = w.Min(foreseen) - w.After(-figureAge)
		}
		if math.Abs(ahead-r.forecastChange) < leastAhead {
			continue
		}
		r.forecastChange = ahead
		f.runs[k.Run(r.status.Run)] = r.view()
		v.changes++
	}
}

// forecasts counts the serving tasks whose load is foreseen to change.
func (f *fleet) forecasts() (n int) {
	for _, v := range f.vms {
		for _, r := range v.runs {
			if r.forecastChange != 0 {
				n++
			}
		}
	}
	return n
}
