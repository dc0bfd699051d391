package runner

import (
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// tailWindow is the time that the executor's figure of a tail latency covers.
	tailWindow = 500 * time.Millisecond
	// paceDelay is how long a new pace takes to have effect.
	paceDelay = 100 * time.Millisecond
)

// fillerSpeed records how fast a filler worked recently, so that a tail latency is compared with
// the fillers that worked while it was measured.
type fillerSpeed struct {
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

// set records the speed from a time on, and drops changes that are older than the window.
func (e *fillerSpeed) set(speed float64, from time.Time) {
	for len(e.changes) > 1 && from.Sub(e.changes[1].from) > tailWindow+paceDelay {
		e.changes = e.changes[1:]
	}
	e.changes = append(e.changes, speedChange{from, speed})
}

// mean returns the mean speed, 0 to 1, over the window that ends now.
func (e *fillerSpeed) mean(now time.Time) float64 {
	begin, end := now.Add(-tailWindow), now
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
	return sum / tailWindow.Seconds()
}

// trackFillers updates the records of the fillers that run. The caller holds mu.
func (a *Agent) trackFillers(now time.Time) {
	whole := float64(max(1, a.vm.Capacity.CPUMilli))
	for id, o := range a.reconciler.DesiredRuns() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		if _, there := a.rows[ref]; !there || !o.Filler || a.fillerSpeeds[ref] != nil {
			continue
		}
		e := &fillerSpeed{image: o.Image, share: max(minShare, float64(o.CPUMilli)/whole)}
		startedAt := a.startedAt[ref]
		if startedAt.IsZero() {
			startedAt = now
		}
		e.set(1, startedAt)
		a.fillerSpeeds[ref] = e
	}
	for ref, e := range a.fillerSpeeds {
		if _, there := a.rows[ref]; !there && e.ended.IsZero() {
			e.ended = now
		}
		if !e.ended.IsZero() && now.Sub(e.ended) > tailWindow {
			delete(a.fillerSpeeds, ref)
		}
	}
	for ref := range a.startedAt {
		if _, there := a.rows[ref]; !there && now.Sub(a.startedAt[ref]) > tailWindow {
			delete(a.startedAt, ref)
		}
	}
}

// measureFillerUsage returns the shares of the VM's processors at which fillers worked over the
// window that ends now, by image. The caller holds mu.
func (a *Agent) measureFillerUsage(now time.Time) map[string]float64 {
	shares := map[string]float64{}
	for _, e := range a.fillerSpeeds {
		shares[e.image] += e.share * e.mean(now)
	}
	return shares
}
