package runner

import (
	"context"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/wire"
)

const (
	// fullPace is the full speed of a run, in percent; runs start with it.
	fullPace = 100
	// paceStep is the least change of a speed that is worth a call, in percent. Changes to a
	// standstill or to full speed are always sent.
	paceStep = 10
	// minShare is the CPU share that is assumed for a filler that declares none.
	minShare = 0.001
	// maxPressures bounds the pairs of images whose pressure is kept.
	maxPressures = 10_000
	// maxSentPressures bounds the pairs that are sent to a new leader: 30 images of each kind.
	maxSentPressures = 900
)

// setPressures takes pressures that the leader has measured. The caller holds mu.
func (a *Agent) setPressures(list []wire.PairPressure) {
	if len(a.pressures) > maxPressures {
		clear(a.pressures) // the leader sends those of this VM's images again in the next session
	}
	for _, e := range list {
		a.pressures[interference.Pair{Serving: e.Serving, Filler: e.Filler}] = float64(e.Pressure)
	}
}

// setLastOfStep sets the runs of fillers that are among the last of their step. The caller holds mu.
func (a *Agent) setLastOfStep(list []rudderfork.RunRef) {
	a.lastOfStep = make(map[rudderfork.RunRef]bool, len(list))
	for _, ref := range list {
		a.lastOfStep[ref] = true
	}
}

// knownPressures returns the pressures that the agent has received. The caller holds mu.
func (a *Agent) knownPressures() (list []wire.PairPressure) {
	for p, pressure := range a.pressures {
		if len(list) == maxSentPressures {
			break
		}
		list = append(list, wire.PairPressure{Serving: p.Serving, Filler: p.Filler, Pressure: float32(pressure)})
	}
	return list
}

// pressure returns the known or assumed pressure of a pair of images. The caller holds mu.
func (a *Agent) pressure(serving, filler string) float64 {
	if p, ok := a.pressures[interference.Pair{Serving: serving, Filler: filler}]; ok {
		return p
	}
	return interference.DefaultPressure()
}

// paceOf returns the last requested speed of a run, in percent. The caller holds mu.
func (a *Agent) paceOf(ref rudderfork.RunRef) int {
	if p, ok := a.paces[ref]; ok {
		return p
	}
	return fullPace
}

// colocatedTasks returns the serving tasks that are at work, the fillers, and the part of the VM's
// processors that all tasks but the fillers leave idle. The caller holds mu.
func (a *Agent) colocatedTasks() (serving []pace.ServingTask, fillers []pace.Filler, idle float64) {
	idle = pace.MaxUtilization
	vmCPU := float64(max(1, a.vm.Capacity.CPUMilli))
	for id, o := range a.reconciler.DesiredRuns() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		status, listed := a.runStatuses[ref]
		share := float64(o.CPUMilli) / vmCPU
		switch {
		case o.Filler:
		case o.TailMS > 0:
			idle -= share * pace.ServingUtilization
		default:
			idle -= share
		}
		switch {
		case listed && serves(o, status):
			serving = append(serving, pace.ServingTask{Image: o.Image, Headroom: pace.Headroom(o.TailMS, status.Load)})
		case o.Filler && listed:
			fillers = append(fillers, pace.Filler{
				Run: ref, Image: o.Image, CPUShare: max(minShare, share),
				Speed: float64(a.paceOf(ref)) / fullPace, MeasuredSpeed: a.meanSpeed(ref), LastOfStep: a.lastOfStep[ref],
			})
		}
	}
	return serving, fillers, idle
}

// colocated reports whether a serving task that is at work shares the VM with a filler. The caller
// holds mu.
func (a *Agent) colocated() bool {
	serving, filler := false, false
	for id, o := range a.reconciler.DesiredRuns() {
		status, listed := a.runStatuses[rudderfork.RunRef{Task: id, Run: o.Run}]
		switch {
		case listed && serves(o, status):
			serving = true
		case listed && o.Filler:
			filler = true
		}
	}
	return serving && filler
}

// serves reports whether a run is a serving task at work. The progress of a serving task is 100
// percent while it is at work.
func serves(o wire.RunOrder, status rudderfork.RunStatus) bool {
	return o.TailMS > 0 && status.Percent == fullPace
}

// meanSpeed returns the mean speed of a filler, 0 to 1, over the time in which the headrooms were
// measured. The caller holds mu.
func (a *Agent) meanSpeed(ref rudderfork.RunRef) float64 {
	if s := a.fillerSpeeds[ref]; s != nil {
		return s.mean(a.lastStatusAt)
	}
	return 0
}

// adjustPace sets the speeds of the fillers so that the serving tasks keep their headroom. The
// caller holds mu.
func (a *Agent) adjustPace(ctx context.Context) {
	for ref := range a.paces {
		if _, listed := a.runStatuses[ref]; !listed {
			delete(a.paces, ref)
		}
	}
	serving, fillers, idle := a.colocatedTasks()
	minHeadroom := pace.MaxHeadroom
	for _, s := range serving {
		minHeadroom = min(minHeadroom, s.Headroom)
	}
	stopped := a.guard.ShouldStop(serving, steady.Now())
	for i, speed := range pace.Speeds(serving, fillers, idle, a.pressure) {
		if stopped {
			speed = 0
		}
		a.setPace(ctx, fillers[i].Run, int(speed*fullPace), minHeadroom)
	}
}

// setPace requests a speed, in percent, unless it differs from the last requested one by less than
// paceStep. The caller holds mu.
func (a *Agent) setPace(ctx context.Context, ref rudderfork.RunRef, percent int, minHeadroom float64) {
	old := a.paceOf(ref)
	if old == percent || abs(old-percent) < paceStep && percent != 0 && percent != fullPace {
		return
	}
	a.paces[ref] = percent
	if s := a.fillerSpeeds[ref]; s != nil {
		s.set(float64(percent)/fullPace, steady.Now().Add(paceDelay))
	}
	inc, fence := a.reconciler.Incarnation(), a.reconciler.FencingToken()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		err := a.exec.Pace(ctx, inc, ref, percent, fence)
		a.log.Info().Str("task", string(ref.Task)).Uint32("run", ref.Run).Int("percent", percent).Int("before", old).
			Float64("least_headroom", minHeadroom).AnErr("error", err).Msg("filler_paced")
		if err != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.paces, ref) // requested again after the next poll
		}
	}()
}

func abs(n int) int { return max(n, -n) }
