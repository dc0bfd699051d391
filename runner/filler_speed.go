package runner

import (
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// tailWindow is the period over which the executor measures a tail latency.
	tailWindow = 500 * time.Millisecond
	// paceDelay is how long a new pace takes to have effect.
	paceDelay = 100 * time.Millisecond
)

// fillerSpeed records how fast a filler worked recently, so that a tail latency can be compared with
// the speeds of the fillers while it was measured.
type fillerSpeed struct {
	image   string
	share   float64       // of the VM's processors that the filler uses at full speed
	changes []speedChange // in the order of time; the first may be older than tailWindow
	ended   time.Time     // when the executor no longer listed the filler; zero while it runs
}

// speedChange is a speed, 0 to 1, and the time from which it applies.
type speedChange struct {
	from  time.Time
	speed float64
}

// set records the speed that applies from a time on, and drops changes that are older than the
// window.
func (s *fillerSpeed) set(speed float64, from time.Time) {
	for len(s.changes) > 1 && from.Sub(s.changes[1].from) > tailWindow+paceDelay {
		s.changes = s.changes[1:]
	}
	s.changes = append(s.changes, speedChange{from, speed})
}

// mean returns the mean speed, 0 to 1, over the window that ends now.
func (s *fillerSpeed) mean(now time.Time) float64 {
	start, end := now.Add(-tailWindow), now
	if !s.ended.IsZero() && s.ended.Before(end) {
		end = s.ended
	}
	sum := 0.0
	for i, c := range s.changes {
		from, to := c.from, end
		if i+1 < len(s.changes) {
			to = s.changes[i+1].from
		}
		if from.Before(start) {
			from = start
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
	vmCPU := float64(max(1, a.vm.Capacity.CPUMilli))
	for id, o := range a.reconciler.DesiredRuns() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		if _, listed := a.runStatuses[ref]; !listed || !o.Filler || a.fillerSpeeds[ref] != nil {
			continue
		}
		s := &fillerSpeed{image: o.Image, share: max(minShare, float64(o.CPUMilli)/vmCPU)}
		startedAt := a.startedAt[ref]
		if startedAt.IsZero() {
			startedAt = now
		}
		s.set(1, startedAt)
		a.fillerSpeeds[ref] = s
	}
	for ref, s := range a.fillerSpeeds {
		if _, listed := a.runStatuses[ref]; !listed && s.ended.IsZero() {
			s.ended = now
		}
		if !s.ended.IsZero() && now.Sub(s.ended) > tailWindow {
			delete(a.fillerSpeeds, ref)
		}
	}
	for ref := range a.startedAt {
		if _, listed := a.runStatuses[ref]; !listed && now.Sub(a.startedAt[ref]) > tailWindow {
			delete(a.startedAt, ref)
		}
	}
}

// measureFillerUsage returns the shares of the VM's processors at which fillers worked over the
// window that ends now, by image. The caller holds mu.
func (a *Agent) measureFillerUsage(now time.Time) map[string]float64 {
	shares := map[string]float64{}
	for _, s := range a.fillerSpeeds {
		shares[s.image] += s.share * s.mean(now)
	}
	return shares
}
