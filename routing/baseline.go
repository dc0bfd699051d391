package routing

import (
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

// list is what the baselines share: upstreams in order, and requests under way.
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

// Random picks any upstream. It is a baseline.
type Random struct {
	list
	rng *rand.Rand
}

// NewRandom returns a random picker.
func NewRandom(seed uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, 4))} }

// Pick implements rudderfork.Picker.
func (p *Random) Pick(_ time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	vms := p.untried(tried)
	if len(vms) == 0 {
		return "", "", false
	}
	return vms[p.rng.IntN(len(vms))], "drawn at random", true
}

// RoundRobin picks upstreams in turn. It is a baseline.
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

// LeastInFlight picks the upstream at which this entry has the least requests.
// It is a baseline.
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
	p.next++ // so that ties go round
	for i := range vms {
		o := vms[(p.next+i)%len(vms)]
		if vm == "" || p.sent[o] < p.sent[vm] {
			vm = o
		}
	}
	return vm, "least requests of this entry", true
}
