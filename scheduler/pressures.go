package scheduler

import (
	"math"
	"time"

	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// A pressure is sent to an agent again when it has changed by at least minRelativeChange
	// of its old value and at least minAbsoluteChange. Smaller changes hardly alter a
	// filler's pace.
	minRelativeChange = 0.15
	minAbsoluteChange = 0.3
	// stderrWeight is how many standard errors are added to a pressure, to be on the safe side
	// while it is uncertain.
	stderrWeight = 0.3
	// fullPercent is the percent that a lasting task reports while it works, and the speed of
	// a filler that is not paced down.
	fullPercent = 100
)

// pressures estimates from the heartbeats of all VMs what fillers take from the headroom of
// serving tasks, by pair of images (see package interference).
type pressures struct {
	model *interference.PressureModel
}

func newPressures() *pressures { return &pressures{interference.NewPressureModel()} }

// workload describes the serving tasks and fillers that run on a VM.
type workload struct {
	serving map[string]bool               // images of serving tasks
	fillers map[string]bool               // images of fillers, including those paced down to zero
	samples []interference.HeadroomSample // measurements of the serving tasks that work
}

// workloadOf returns the workload of a VM, from the runs that it reports and that are committed
// for it.
func workloadOf(s *queue.State, vm *queue.VM, v *vmInfo) workload {
	w := workload{serving: map[string]bool{}, fillers: map[string]bool{}}
	for k, r := range v.runs {
		if vm.Runs()[k] != r.status.Run {
			continue
		}
		step := s.Job(k.Job).Spec.Steps[k.Step]
		w.add(step)
		if step.TailMS > 0 && r.status.Percent == fullPercent && r.status.Load > 0 {
			w.samples = append(w.samples, interference.HeadroomSample{
				Image: step.Image, Run: r.status.RunRef, Headroom: pace.Headroom(step.TailMS, r.status.Load),
			})
		}
	}
	return w
}

// add adds the image of a step of which a task runs on the VM.
func (w workload) add(step queue.Step) {
	if step.TailMS > 0 {
		w.serving[step.Image] = true
	}
	if step.Filler {
		w.fillers[step.Image] = true
	}
}

// observe adds the measurements in a VM's heartbeat to the model.
func (p *pressures) observe(w workload, hb wire.VMHeartbeat, now time.Time) {
	if !hb.Measured {
		return
	}
	for _, sample := range w.samples {
		sample.At, sample.Shares = now, hb.FillerUsage
		p.model.Observe(sample)
	}
}

// assumePressures takes over the previous leader's estimates from an agent that has them.
func (s *Scheduler) assumePressures(list []wire.PairPressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := 0
	for _, p := range list {
		if s.fleet.pressures.model.SetPrior(p.Serving, p.Filler, float64(p.Pressure)) {
			taken++
		}
	}
	s.log.Info().Int("told", len(list)).Int("taken", taken).Msg("pressures_assumed")
}

// estimate returns the estimated pressure of a pair of images plus stderrWeight standard errors.
func (p *pressures) estimate(serving, filler string, now time.Time) float64 {
	pressure, stderr := p.model.Estimate(serving, filler, now)
	return pressure + stderrWeight*stderr
}

// changedFor returns the pressures between the images on a VM that its agent lacks or that have
// changed much since they were sent, and records them in sent.
func (p *pressures) changedFor(w workload, sent map[interference.Pair]float64, now time.Time) (list []wire.PairPressure) {
	for serving := range w.serving {
		for filler := range w.fillers {
			pair := interference.Pair{Serving: serving, Filler: filler}
			pressure := p.estimate(serving, filler, now)
			old, ok := sent[pair]
			if ok && math.Abs(pressure-old) < max(minAbsoluteChange, minRelativeChange*math.Abs(old)) {
				continue
			}
			sent[pair] = pressure
			list = append(list, wire.PairPressure{Serving: serving, Filler: filler, Pressure: float32(pressure)})
		}
	}
	return list
}
