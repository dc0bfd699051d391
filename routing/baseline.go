package routing

import (
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

// list is the common part of the baselines: the upstreams and the requests in
// flight.
type list struct {
	vms  []rudderfork.VMID
	sent map[rudderfork.VMID]int
}

// SetUpstreams implements rudderfork.Picker.
func (l *list) SetUpstreams(us []rudderfork.Upstream, _ time.Time) {
	l.vms = nil
	for _, u := range us {
		l.vms = append(l.vms, u.Place.VM)
	}
	if l.sent == nil {
		l.sent = map[rudderfork.VMID]int{}
	}
}

// Sent implements rudderfork.Picker.
func (l *list) Sent(vm rudderfork.VMID, _ time.Time) { l.sent[vm]++ }

// Done implements rudderfork.Picker.
func (l *list) Done(vm rudderfork.VMID, _ time.Duration, _ bool, _ time.Time) { l.sent[vm]-- }

// Observe implements rudderfork.Picker.
func (l *list) Observe(rudderfork.VMID, rudderfork.Load, time.Time) {}

func (l *list) untried(tried []rudderfork.VMID) []rudderfork.VMID {
	var vms []rudderfork.VMID
	for _, vm := range l.vms {
		if !contains(tried, vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Random picks an upstream at random. It is a baseline of benchmarks.
type Random struct {
	list
	rng *rand.Rand
}

// NewRandom returns a random picker. seed seeds its random numbers.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 4))} }

// Pick implements rudderfork.Picker.
func (p *Random) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	return vms[p.rng.IntN(len(vms))], "drawn at random", true
}

// RoundRobin picks the upstreams in turn. It is a baseline of benchmarks.
type RoundRobin struct {
	list
	next int
}

// Pick implements rudderfork.Picker.
func (p *RoundRobin) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	p.next++
	return vms[p.next%len(vms)], "next in turn", true
}

// LeastInFlight picks the upstream with the fewest requests of this entry in
// flight. It is a baseline of benchmarks.
type LeastInFlight struct {
	list
	next int
}

// Pick implements rudderfork.Picker.
func (p *LeastInFlight) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	p.next++ // rotates the choice among upstreams with equal numbers
	for i := range vms {
		o := vms[(p.next+i)%len(vms)]
		if vm == "" || p.sent[o] < p.sent[vm] {
			vm = o
		}
	}
	return vm, "least requests of this entry", true
}
