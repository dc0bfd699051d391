package runner

import (
	"context"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
)

// pressure returns the worst tail of the serving tasks over its objective.
// serving says whether there is one, paced whether there are fillers too. The
// caller holds mu.
func (a *Agent) pressure() (worst float64, serving, paced bool) {
	fillers := false
	for id, o := range a.keeper.Wanted() {
		fillers = fillers || o.Filler
		if o.TailMS == 0 {
			continue
		}
		serving = true
		row := a.rows[rudderfork.RunRef{Task: id, Run: o.Run}]
		worst = max(worst, float64(row.Load)/float64(o.TailMS))
	}
	return worst, serving, serving && fillers
}

// adjustPace sets the fillers to the share that the serving tasks leave them.
// The caller holds mu.
func (a *Agent) adjustPace(ctx context.Context) {
	worst, serving, _ := a.pressure()
	share := a.pacer.Step(worst, serving, steady.Now())
	for ref := range a.paces {
		if _, there := a.rows[ref]; !there {
			delete(a.paces, ref)
		}
	}
	for id, o := range a.keeper.Wanted() {
		ref := rudderfork.RunRef{Task: id, Run: o.Run}
		if _, there := a.rows[ref]; o.Filler && there {
			a.setPace(ctx, ref, share, worst)
		}
	}
}

// paceNew sets a filler that has just begun to the present share. The caller
// holds mu.
func (a *Agent) paceNew(ctx context.Context, ref rudderfork.RunRef) {
	o, ok := a.keeper.Wanted()[ref.Task]
	if !ok || !o.Filler {
		return
	}
	worst, serving, _ := a.pressure()
	a.setPace(ctx, ref, a.pacer.Step(worst, serving, steady.Now()), worst)
}

// fullPace is the share at which a run begins, in percent.
const fullPace = 100

// setPace asks for a share unless it is the one last asked for. The caller
// holds mu.
func (a *Agent) setPace(ctx context.Context, ref rudderfork.RunRef, share int, worst float64) {
	old, ok := a.paces[ref]
	if !ok {
		old = fullPace
	}
	if old == share {
		return
	}
	a.paces[ref] = share
	life, fence := a.keeper.Life(), a.keeper.Fence()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		err := a.exec.Pace(ctx, life, ref, share, fence)
		a.log.Info().Str("task", string(ref.Task)).Uint32("run", ref.Run).Int("percent", share).Int("before", old).
			Float64("worst_tail", worst).AnErr("error", err).Msg("filler_paced")
		if err != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.paces, ref) // asked for again with the next look
		}
	}()
}
