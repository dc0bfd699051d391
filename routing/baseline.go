package routing

import (
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

// baseline is the common part of the pickers that benchmarks compare with Probing:
// the upstreams and the number of this entry's requests in flight to each.
type baseline struct {
	vms      []rudderfork.VMID
	inFlight map[rudderfork.VMID]int
}

// SetUpstreams implements rudderfork.Picker.
func (b *baseline) SetUpstreams(us []rudderfork.Upstream, _ time.Time) {
	b.vms = nil
	for _, u := range us {
		b.vms = append(b.vms, u.Place.VM)
	}
	if b.inFlight == nil {
		b.inFlight = map[rudderfork.VMID]int{}
	}
}

// Sent implements rudderfork.Picker.
func (b *baseline) Sent(vm rudderfork.VMID, _ time.Time) { b.inFlight[vm]++ }

// Done implements rudderfork.Picker.
func (b *baseline) Done(vm rudderfork.VMID, _ time.Duration, _ bool, _ time.Time) { b.inFlight[vm]-- }

// Observe implements rudderfork.Picker.
func (b *baseline) Observe(rudderfork.VMID, rudderfork.Load, time.Time) {}

// untried returns the upstreams that are not in tried.
func (b *baseline) untried(tried []rudderfork.VMID) []rudderfork.VMID {
	var vms []rudderfork.VMID
	for _, vm := range b.vms {
		if !contains(tried, vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Random picks an upstream at random.
type Random struct {
	baseline
	rng *rand.Rand
}

// NewRandom returns a random picker. seed seeds its random numbers.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 4))} }

// Pick implements rudderfork.Picker.
func (p *Random) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, reason string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	return vms[p.rng.IntN(len(vms))], "drawn at random", true
}

// RoundRobin picks the upstreams in turn.
type RoundRobin struct {
	baseline
	next int
}

// Pick implements rudderfork.Picker.
func (p *RoundRobin) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, reason string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	p.next++
	return vms[p.next%len(vms)], "next in turn", true
}

// LeastInFlight picks the upstream with the fewest requests of this entry in flight.
type LeastInFlight struct {
	baseline
	next int
}

// Pick implements rudderfork.Picker.
func (p *LeastInFlight) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, reason string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	p.next++ // the start of the loop rotates, so that equal upstreams are chosen in turn
	for i := range vms {
		o := vms[(p.next+i)%len(vms)]
		if vm == "" || p.inFlight[o] < p.inFlight[vm] {
			vm = o
		}
	}
	return vm, "least requests of this entry", true
}
