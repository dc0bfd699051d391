package scheduler

import (
	"math"
	"time"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// sampleDelay is how old a measurement is on average when its heartbeat arrives: executors
	// measure over half a second, and agents poll them four times a second.
	sampleDelay = 350 * time.Millisecond
	// forecastSpan is the time ahead for which the place of a filler is chosen. Most fillers
	// work about that long. Longer ones are paced by what is measured later.
	forecastSpan = 1500 * time.Millisecond
	// minForecastChange is the smallest change of a forecast that is passed to the planner,
	// which then evaluates the VM again.
	minForecastChange = 0.05
)

// observeSwings adds the measurements in a VM's heartbeat to the model of periodic load on serving
// steps: the headrooms as they would be without the fillers on the VM.
func (f *fleet) observeSwings(s *queue.State, w workload, hb wire.VMHeartbeat, now time.Time) {
	if !hb.Measured {
		return
	}
	for _, sample := range w.samples {
		k, err := queue.ParseTaskKey(string(sample.Run.Task))
		if err != nil {
			continue // not a task of the queues
		}
		headroom := sample.Headroom
		for image, share := range hb.FillerUsage {
			pressure, _ := f.pressures.model.Estimate(sample.Image, image, now)
			headroom += pressure * share
		}
		f.swings.Observe(s.CurrentQueue(s.Job(k.Job)).Name, k.StepKey(), headroom, now.Add(-sampleDelay))
	}
}

// updateForecasts updates the forecast change of the headroom of a VM's serving tasks: the lowest
// headroom within forecastSpan minus the headroom at the time of the newest measurement.
func (f *fleet) updateForecasts(s *queue.State, v *vmInfo, now time.Time) {
	for k, r := range v.runs {
		j := s.Job(k.Job)
		if j == nil || j.Spec.Steps[k.Step].TailMS == 0 {
			continue
		}
		change := 0.0
		if w, ok := f.swings.Forecast(s.CurrentQueue(j).Name, k.StepKey(), now); ok {
			change = w.Min(forecastSpan) - w.After(-sampleDelay)
		}
		if math.Abs(change-r.forecastChange) < minForecastChange {
			continue
		}
		r.forecastChange = change
		f.runs[k.Run(r.status.Run)] = r.view()
		v.changes++
	}
}

// countForecasts counts the serving tasks whose headroom has a forecast change.
func (f *fleet) countForecasts() (n int) {
	for _, v := range f.vms {
		for _, r := range v.runs {
			if r.forecastChange != 0 {
				n++
			}
		}
	}
	return n
}
