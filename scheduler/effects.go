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
	serving map[string]bool                  // images
	shares  map[string]float64               // of processors in use, by filler image
	images  map[string]bool                  // of fillers, also of those paced to a standstill
	tails   map[rudderfork.RunRef]servedTail // of the tasks at work
	used    float64                          // part of the processors in use, about
}

// servedTail is one serving task's last figure.
type servedTail struct {
	image string
	ms    int64
}

func crewOf(s *queue.State, vm *queue.VM, v *vmInfo) crew {
	c := crew{
		serving: map[string]bool{}, shares: map[string]float64{},
		images: map[string]bool{}, tails: map[rudderfork.RunRef]servedTail{},
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
				c.tails[r.row.RunRef] = servedTail{st.Image, r.row.Load}
			}
		case st.Filler:
			c.images[st.Image] = true
			share := cpu * float64(fullPercent-r.row.Held) / fullPercent
			c.shares[st.Image] += share
			c.used += share
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

// learn takes a VM's account. Figures cover the last half second, which is about
// the time between two accounts, so the fillers' shares are taken as the mean of
// those in both.
func (e *effects) learn(c crew, v *vmInfo, now time.Time) {
	last := v.lastShares
	v.lastShares = c.shares
	crowded := c.used > pace.MostUsed || v.wasCrowded
	v.wasCrowded = c.used > pace.MostUsed
	if last == nil || crowded {
		return // tails over used-up processors tell nothing of the pairs
	}
	shares := map[string]float64{}
	for image, share := range c.shares {
		shares[image] += share / 2
	}
	for image, share := range last {
		shares[image] += share / 2
	}
	for _, t := range c.tails {
		e.model.Observe(interference.Sample{
			Service: rudderfork.Service(t.image), At: now, Latency: time.Duration(t.ms) * time.Millisecond, Shares: shares,
		})
	}
}

// of returns what is known or assumed of a pair.
func (e *effects) of(serving, filler string, now time.Time) float64 {
	effect, _ := e.model.Effect(rudderfork.Service(serving), filler, now)
	return effect
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
