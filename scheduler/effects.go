package scheduler

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// tellChange is the relative change of an effect that an agent is told of,
	// and leastChange the absolute one: less does not change a pace.
	tellChange  = 0.15
	leastChange = 0.5
	// crowded is the part of a VM's processors above which tails are not learned
	// from: they grow without any harmful pair.
	crowded = 1.0
	// caution is the part of an effect's standard error that is added to it.
	caution = 0.3
	// fullPercent is a lasting task at work, or a filler that is not paced.
	fullPercent = 100
)

// imagePair names a serving image and a filler's.
type imagePair struct{ serving, filler string }

// effects learns what fillers do to serving tasks, by pair of images, from the
// accounts of all VMs.
type effects struct {
	model *interference.Model
}

func newEffects() *effects { return &effects{interference.New(interference.Fillers())} }

// crew is the serving tasks and the fillers that run on a VM.
type crew struct {
	serving map[string]bool // images
	images  map[string]bool // of fillers, also of those paced to a standstill
	tails   []pace.Serving  // of the tasks at work, in ms
	used    float64         // part of the processors that others than fillers use, about
}

func crewOf(s *queue.State, vm *queue.VM, v *vmInfo) crew {
	c := crew{
		serving: map[string]bool{},
		images:  map[string]bool{},
	}
	for k, r := range v.rows {
		if vm.Runs()[k] != r.row.Run {
			continue
		}
		st := s.Job(k.Job).Spec.Steps[k.Step]
		cpu := float64(st.Size.CPUMilli) / float64(max(1, vm.Capacity.CPUMilli))
		switch {
		case st.TailMS > 0:
			c.serving[st.Image] = true
			c.used += cpu * pace.ServingUse
			if r.row.Percent == fullPercent {
				c.tails = append(c.tails, pace.Serving{Image: st.Image, Tail: float64(r.row.Load)})
			}
		case st.Filler:
			c.images[st.Image] = true
		default:
			c.used += cpu
		}
	}
	return c
}

// add notes the images of a step that begins on the VM.
func (c crew) add(st queue.Step) {
	if st.TailMS > 0 {
		c.serving[st.Image] = true
	}
	if st.Filler {
		c.images[st.Image] = true
	}
}

// learn takes a VM's account.
func (e *effects) learn(c crew, b wire.VMBeat, now time.Time) {
	used := c.used
	for _, share := range b.Worked {
		used += share
	}
	if b.Worked == nil || used > crowded {
		return // tails over used-up processors tell nothing of the pairs
	}
	for _, t := range pace.Typical(c.tails) {
		e.model.Observe(interference.Sample{
			Service: rudderfork.Service(t.Image), At: now, Latency: time.Duration(t.Tail * float64(time.Millisecond)), Shares: b.Worked,
		})
	}
}

// of returns what is known or assumed of a pair, on the cautious side.
func (e *effects) of(serving, filler string, now time.Time) float64 {
	effect, stderr := e.model.Effect(rudderfork.Service(serving), filler, now)
	return effect + caution*stderr
}

// news returns the effects between the images on a VM that an agent has not been
// told of, or that have changed since.
func (e *effects) news(c crew, told map[imagePair]float64, now time.Time) (list []wire.PairEffect) {
	for serving := range c.serving {
		for filler := range c.images {
			p := imagePair{serving, filler}
			effect := e.of(serving, filler, now)
			old, ok := told[p]
			if ok && math.Abs(effect-old) < max(leastChange, tellChange*math.Abs(old)) {
				continue
			}
			told[p] = effect
			list = append(list, wire.PairEffect{Serving: serving, Filler: filler, Effect: float32(effect)})
		}
	}
	return list
}
