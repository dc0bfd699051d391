package runner

import (
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// window is the time that the executor's figure of a tail covers.
	window = 500 * time.Millisecond
	// paceDelay is how long a new pace takes to hold.
	paceDelay = 100 * time.Millisecond
)

// exposure is how fast a filler worked lately, so that a tail is set against
// what ran while it was measured.
type exposure struct {
	image   string
	share   float64 // of the VM's processors at full speed
	changes []speedChange
	ended   time.Time // zero while it runs
}

// speedChange is a speed, 0 to 1, from a time on.
type speedChange struct {
	from  time.Time
	speed float64
}

// set notes a speed from a time on, and drops what is older than the window.
func (e *exposure) set(speed float64, from time.Time) {
	for len(e.changes) > 1 && from.Sub(e.changes[1].from) > window+paceDelay {
		e.changes = e.changes[1:]
	}
	e.changes = append(e.changes, speedChange{from, speed})
}

// mean is the mean speed over the window that ends now.
func (e *exposure) mean(now time.Time) float64 {
	begin, end := now.Add(-window), now
	if !e.ended.IsZero() && e.ended.Before(end) {
		end = e.ended
	}
	sum := 0.0
	for i, c := range e.changes {
		from, to := c.from, end
		if i+1 < len(e.changes) {
			to = e.changes[i+1].from
		}
		if from.Before(begin) {
			from = begin
		}
		if to.After(end) {
			to = end
		}
		if to.After(from) {
			sum += c.speed * to.Sub(from).Seconds()
		}
	}
	return sum / window.Seconds()
}

// expose follows the fillers that run. The caller holds mu.
func (a *Agent) expose(now time.Time) {
	whole := float64(max(1, a.vm.Capacity.CPUMilli))
	for id, o := range a.keeper.DesiredRuns() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		if _, there := a.rows[ref]; !there || !o.Filler || a.exposures[ref] != nil {
			continue
		}
		e := &exposure{image: o.Image, share: max(leastShare, float64(o.CPUMilli)/whole)}
		begun := a.begun[ref]
		if begun.IsZero() {
			begun = now
		}
		e.set(1, begun)
		a.exposures[ref] = e
	}
	for ref, e := range a.exposures {
		if _, there := a.rows[ref]; !there && e.ended.IsZero() {
			e.ended = now
		}
		if !e.ended.IsZero() && now.Sub(e.ended) > window {
			delete(a.exposures, ref)
		}
	}
	for ref := range a.begun {
		if _, there := a.rows[ref]; !there && now.Sub(a.begun[ref]) > window {
			delete(a.begun, ref)
		}
	}
}

// exposed returns the shares of the VM's processors at which fillers worked over
// the window that ends now, by image. The caller holds mu.
func (a *Agent) exposed(now time.Time) map[string]float64 {
	shares := map[string]float64{}
	for _, e := range a.exposures {
		shares[e.image] += e.share * e.mean(now)
	}
	return shares
}
