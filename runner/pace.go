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
	// fullPace is the share at which a run begins, in percent.
	fullPace = 100
	// paceStep is the least change of a share that is worth a call, in percent,
	// unless it is to or from a standstill or full speed.
	paceStep = 10
	// leastShare stands for a filler that declares no processors.
	leastShare = 0.001
	// maxPressures bounds the pairs of images that are remembered.
	maxPressures = 10_000
	// maxLearned bounds those that a new leader is told of: 30 images of each kind.
	maxLearned = 900
)

// takePressures notes what the leader has learned. The caller holds mu.
func (a *Agent) takePressures(list []wire.PairPressure) {
	if len(a.pressures) > maxPressures {
		clear(a.pressures) // the leader sends what matters with the next session
	}
	for _, e := range list {
		a.pressures[interference.Pair{Serving: e.Serving, Filler: e.Filler}] = float64(e.Pressure)
	}
}

// takeLast notes the runs that the rest of their steps wait for. The caller holds mu.
func (a *Agent) takeLast(list []rudderfork.RunRef) {
	a.last = make(map[rudderfork.RunRef]bool, len(list))
	for _, ref := range list {
		a.last[ref] = true
	}
}

// learned returns the pressures that the agent was told of. The caller holds mu.
func (a *Agent) learned() (list []wire.PairPressure) {
	for p, pressure := range a.pressures {
		if len(list) == maxLearned {
			break
		}
		list = append(list, wire.PairPressure{Serving: p.Serving, Filler: p.Filler, Pressure: float32(pressure)})
	}
	return list
}

// pressure is what is known or assumed of a pair. The caller holds mu.
func (a *Agent) pressure(serving, filler string) float64 {
	if p, ok := a.pressures[interference.Pair{Serving: serving, Filler: filler}]; ok {
		return p
	}
	return interference.Unknown()
}

// paceOf is the share last asked for. The caller holds mu.
func (a *Agent) paceOf(ref rudderfork.RunRef) int {
	if p, ok := a.paces[ref]; ok {
		return p
	}
	return fullPace
}

// company returns the serving tasks that are at work, the fillers, and the part
// of the processors that is idle without these. The caller holds mu.
func (a *Agent) company() (serving []pace.ServingTask, fillers []pace.Filler, idle float64) {
	idle = pace.MaxUtilization
	whole := float64(max(1, a.vm.Capacity.CPUMilli))
	for id, o := range a.keeper.DesiredRuns() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		row, there := a.rows[ref]
		share := float64(o.CPUMilli) / whole
		switch {
		case o.Filler:
		case o.TailMS > 0:
			idle -= share * pace.ServingUtilization
		default:
			idle -= share
		}
		switch {
		case there && serves(o, row):
			serving = append(serving, pace.ServingTask{Image: o.Image, Headroom: pace.Headroom(o.TailMS, row.Load)})
		case o.Filler && there:
			fillers = append(fillers, pace.Filler{
				Run: ref, Image: o.Image, CPUShare: max(leastShare, share),
				Speed: float64(a.paceOf(ref)) / fullPace, MeasuredSpeed: a.seen(ref), LastOfStep: a.last[ref],
			})
		}
	}
	return serving, fillers, idle
}

// colocated reports whether a serving task at work has a filler beside it. The
// caller holds mu.
func (a *Agent) colocated() bool {
	serving, filler := false, false
	for id, o := range a.keeper.DesiredRuns() {
		row, there := a.rows[rudderfork.RunRef{Task: id, Run: o.Run}]
		switch {
		case there && serves(o, row):
			serving = true
		case there && o.Filler:
			filler = true
		}
	}
	return serving && filler
}

// serves reports whether a run is a serving task at work.
func serves(o wire.RunOrder, row rudderfork.RunStatus) bool {
	return o.TailMS > 0 && row.Percent == fullPace
}

// seen is the mean speed of a filler while the headrooms were measured. The caller
// holds mu.
func (a *Agent) seen(ref rudderfork.RunRef) float64 {
	if e := a.exposures[ref]; e != nil {
		return e.mean(a.seenAt)
	}
	return 0
}

// adjustPace sets the fillers to what the serving tasks leave them. The caller
// holds mu.
func (a *Agent) adjustPace(ctx context.Context) {
	for ref := range a.paces {
		if _, there := a.rows[ref]; !there {
			delete(a.paces, ref)
		}
	}
	serving, fillers, idle := a.company()
	least := pace.MaxHeadroom
	for _, s := range serving {
		least = min(least, s.Headroom)
	}
	stopped := a.guard.ShouldStop(serving, steady.Now())
	for i, speed := range pace.Speeds(serving, fillers, idle, a.pressure) {
		if stopped {
			speed = 0
		}
		a.setPace(ctx, fillers[i].Run, int(speed*fullPace), least)
	}
}

// setPace asks for a share unless it is about the one last asked for. The caller
// holds mu.
func (a *Agent) setPace(ctx context.Context, ref rudderfork.RunRef, share int, least float64) {
	old := a.paceOf(ref)
	if old == share || abs(old-share) < paceStep && share != 0 && share != fullPace {
		return
	}
	a.paces[ref] = share
	if e := a.exposures[ref]; e != nil {
		e.set(float64(share)/fullPace, steady.Now().Add(paceDelay))
	}
	life, fence := a.keeper.Incarnation(), a.keeper.FencingToken()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		err := a.exec.Pace(ctx, life, ref, share, fence)
		a.log.Info().Str("task", string(ref.Task)).Uint32("run", ref.Run).Int("percent", share).Int("before", old).
			Float64("least_headroom", least).AnErr("error", err).Msg("filler_paced")
		if err != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.paces, ref) // asked for again with the next look
		}
	}()
}

func abs(n int) int { return max(n, -n) }
