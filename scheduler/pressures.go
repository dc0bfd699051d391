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
	// tellChange is the relative change of a pressure that an agent is told of,
	// and leastChange the absolute one: less does not change a pace.
	tellChange  = 0.15
	leastChange = 0.3
	// caution is the part of a pressure's standard error that is added to it.
	caution = 0.3
	// fullPercent is a lasting task at work, or a filler that is not paced.
	fullPercent = 100
)

// pressures learns what fillers take from serving tasks, by pair of images, from
// the accounts of all VMs.
type pressures struct {
	model *interference.Pressures
}

func newPressures() *pressures { return &pressures{interference.NewPressures()} }

// workload is the serving tasks and the fillers that run on a VM.
type workload struct {
	serving map[string]bool       // images
	fillers map[string]bool       // images, also of those paced to a standstill
	figures []interference.Figure // of the serving tasks at work
}

func workloadOf(s *queue.State, vm *queue.VM, v *vmInfo) workload {
	c := workload{serving: map[string]bool{}, fillers: map[string]bool{}}
	for k, r := range v.runs {
		if vm.Runs()[k] != r.status.Run {
			continue
		}
		st := s.Job(k.Job).Spec.Steps[k.Step]
		c.add(st)
		if st.TailMS > 0 && r.status.Percent == fullPercent && r.status.Load > 0 {
			c.figures = append(c.figures, interference.Figure{
				Image: st.Image, Run: r.status.RunRef, Headroom: pace.Headroom(st.TailMS, r.status.Load),
			})
		}
	}
	return c
}

// add notes the images of a step that runs on the VM.
func (c workload) add(st queue.Step) {
	if st.TailMS > 0 {
		c.serving[st.Image] = true
	}
	if st.Filler {
		c.fillers[st.Image] = true
	}
}

// observe takes a VM's account.
func (p *pressures) observe(c workload, b wire.VMHeartbeat, now time.Time) {
	if !b.Measured {
		return
	}
	for _, f := range c.figures {
		f.At, f.Shares = now, b.FillerUsage
		p.model.Observe(f)
	}
}

// assume takes what the leader before had learned, from what it told the agents.
func (s *Scheduler) assume(list []wire.PairPressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := 0
	for _, p := range list {
		if s.fleet.pressures.model.Assume(p.Serving, p.Filler, float64(p.Pressure)) {
			taken++
		}
	}
	s.log.Info().Int("told", len(list)).Int("taken", taken).Msg("pressures_assumed")
}

// estimate returns what is known or assumed estimate a pair, on the cautious side.
func (p *pressures) estimate(serving, filler string, now time.Time) float64 {
	pressure, stderr := p.model.Of(serving, filler, now)
	return pressure + caution*stderr
}

// changedFor returns the pressures between the images on a VM that an agent has not
// been told of, or that have changed since.
func (p *pressures) changedFor(c workload, told map[interference.Pair]float64, now time.Time) (list []wire.PairPressure) {
	for serving := range c.serving {
		for filler := range c.fillers {
			pair := interference.Pair{Serving: serving, Filler: filler}
			pressure := p.estimate(serving, filler, now)
			old, ok := told[pair]
			if ok && math.Abs(pressure-old) < max(leastChange, tellChange*math.Abs(old)) {
				continue
			}
			told[pair] = pressure
			list = append(list, wire.PairPressure{Serving: serving, Filler: filler, Pressure: float32(pressure)})
		}
	}
	return list
}
