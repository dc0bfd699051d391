// Package routing chooses an upstream for each request, and limits retries.
//
// Every entry chooses by itself; entries share no memory. What they know of an
// upstream comes back on its answers, on probes, and from the requests that the
// entry itself has under way there. The pickers are driven by events and given
// times and hold no sockets.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// candidates is how many upstreams are drawn and compared for a request.
	candidates = 3
	// smoothing is the weight of a new latency in the moving average.
	smoothing = 0.2
	// loadAge is after how long a reported load no longer counts.
	loadAge = time.Second
	// latencyAge is how fast an old latency loses its weight: an upstream that
	// was slow is tried again after a few of these.
	latencyAge = 2 * time.Second
	// band is how much lower a cost must be to count as lower: within it two
	// upstreams are alike, and the draw decides.
	band = 0.95
	// optimism is what an upstream of unknown latency is expected to take, as a
	// share of the typical one.
	optimism = 0.8
	// firstLatency is assumed before any is known, in seconds.
	firstLatency = 0.01
	// farCost is added for another failure domain.
	farCost = 300 * time.Microsecond
	// failLimit is how many requests in a row must fail before an upstream is
	// set aside, asideBase for how long at first, doubling up to asideMax.
	failLimit = 3
	asideBase = 500 * time.Millisecond
	asideMax  = 30 * time.Second
	// rampRequests is how many good answers an upstream that came back needs
	// before it may have more than one request at a time.
	rampRequests = 5
	defaultSlots = 8
)

// Probing is the picker of the product: it draws candidates and takes, among
// those with a free slot, the one of least expected latency, else the one with
// the least requests (the hot/cold rule of Prequal, NSDI 2024). It implements
// rudderfork.Picker.
type Probing struct {
	domain rudderfork.Domain
	rng    *rand.Rand
	ups    []*upstream
	byVM   map[rudderfork.VMID]*upstream
}

// upstream is what one entry knows of one upstream.
type upstream struct {
	rudderfork.Upstream
	sent      int // requests of this entry under way
	load      rudderfork.Load
	loadAt    time.Time
	sentAt    int     // sent when load came
	latency   float64 // moving average, seconds
	latencyAt time.Time

	failures   int
	asideUntil time.Time
	asideCount int
	good       int // good answers since it came back
}

// NewProbing returns a picker for an entry in the given failure domain.
func NewProbing(domain rudderfork.Domain, seed uint64) *Probing {
	return &Probing{domain: domain, rng: rand.New(rand.NewPCG(seed, 3)), byVM: map[rudderfork.VMID]*upstream{}}
}

// SetUpstreams implements rudderfork.Picker.
func (p *Probing) SetUpstreams(us []rudderfork.Upstream, _ time.Time) {
	old := p.byVM
	p.byVM, p.ups = map[rudderfork.VMID]*upstream{}, nil
	for _, u := range us {
		up := old[u.Place.VM]
		if up == nil || up.Addr != u.Addr {
			up = &upstream{}
		}
		up.Upstream = u
		p.byVM[u.Place.VM] = up
		p.ups = append(p.ups, up)
	}
}

// Pick implements rudderfork.Picker.
func (p *Probing) Pick(now time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	usable := p.usable(now, tried)
	if len(usable) == 0 {
		return "", "", false
	}
	drawn := p.draw(usable)
	typical := p.typical(now)
	best := drawn[0]
	for _, u := range drawn[1:] {
		if p.better(u, best, typical, now) {
			best = u
		}
	}
	why = fmt.Sprintf("least cost of %d drawn from %d usable: about %d requests there, %.1f ms expected",
		len(drawn), len(usable), best.inFlight(now), 1000*best.expected(typical, now))
	return best.Place.VM, why, true
}

// usable returns the upstreams that may get a request: those not set aside, or
// all not leaving if that leaves none, since a guess beats a refusal.
func (p *Probing) usable(now time.Time, tried []rudderfork.VMID) []*upstream {
	var good, rest []*upstream
	for _, u := range p.ups {
		if u.load.Leaving && now.Sub(u.loadAt) < leavingAge || contains(tried, u.Place.VM) {
			continue
		}
		if u.mayTry(now) {
			good = append(good, u)
		} else {
			rest = append(rest, u)
		}
	}
	if len(good) == 0 {
		return rest
	}
	return good
}

// leavingAge is how long a report that an upstream is leaving holds.
const leavingAge = 10 * time.Second

func contains(vms []rudderfork.VMID, vm rudderfork.VMID) bool {
	for _, v := range vms {
		if v == vm {
			return true
		}
	}
	return false
}

// mayTry reports whether u is not set aside; one that came back gets one
// request at a time until it has answered a few.
func (u *upstream) mayTry(now time.Time) bool {
	if now.Before(u.asideUntil) {
		return false
	}
	return u.asideCount == 0 || u.good >= rampRequests || u.sent == 0
}

// draw returns up to candidates of us, at random.
func (p *Probing) draw(us []*upstream) []*upstream {
	for i := range min(candidates, len(us)) {
		j := i + p.rng.IntN(len(us)-i)
		us[i], us[j] = us[j], us[i]
	}
	return us[:min(candidates, len(us))]
}

// better compares two candidates by the hot/cold rule.
func (p *Probing) better(a, b *upstream, typical float64, now time.Time) bool {
	fa, fb := a.inFlight(now), b.inFlight(now)
	coldA, coldB := fa < a.slots(), fb < b.slots()
	switch {
	case coldA != coldB:
		return coldA
	case !coldA && fa != fb:
		return fa < fb
	}
	return p.cost(a, typical, now) < band*p.cost(b, typical, now)
}

// cost is the expected latency, with what the requests already there add.
func (p *Probing) cost(u *upstream, typical float64, now time.Time) float64 {
	c := u.expected(typical, now) * (1 + float64(u.inFlight(now))/float64(u.slots()))
	if u.Place.Domain != p.domain {
		c += farCost.Seconds()
	}
	return c
}

func (u *upstream) slots() int {
	if u.load.Slots > 0 {
		return u.load.Slots
	}
	return defaultSlots
}

// inFlight is the number of requests at u: what it last reported, corrected by
// what this entry sent and got back since.
func (u *upstream) inFlight(now time.Time) int {
	if now.Sub(u.loadAt) > loadAge {
		return u.sent
	}
	return max(u.sent, u.load.InFlight+u.load.Queued+u.sent-u.sentAt)
}

// expected is the latency, pulled towards a little less than the typical one as
// it gets old: what is not known is worth a try.
func (u *upstream) expected(typical float64, now time.Time) float64 {
	w := u.freshness(now)
	return w*u.latency + (1-w)*optimism*typical
}

// freshness is the weight of the latency: 1 when new, towards 0 with age.
func (u *upstream) freshness(now time.Time) float64 {
	if u.latencyAt.IsZero() {
		return 0
	}
	age := now.Sub(u.latencyAt).Seconds() / latencyAge.Seconds()
	return 1 / (1 + age*age)
}

// typical is the mean latency over the upstreams, by freshness.
func (p *Probing) typical(now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, u := range p.ups {
		w := u.freshness(now)
		sum += w * u.latency
		weight += w
	}
	if weight == 0 {
		return firstLatency
	}
	return sum / weight
}

// Sent implements rudderfork.Picker.
func (p *Probing) Sent(vm rudderfork.VMID, _ time.Time) {
	if u := p.byVM[vm]; u != nil {
		u.sent++
	}
}

// Done implements rudderfork.Picker.
func (p *Probing) Done(vm rudderfork.VMID, took time.Duration, failed bool, now time.Time) {
	u := p.byVM[vm]
	if u == nil {
		return
	}
	u.sent = max(0, u.sent-1)
	if failed {
		u.fail(now)
		return
	}
	u.failures = 0
	if took <= 0 {
		return // a refusal or a feed says nothing about latency
	}
	u.good++
	if u.good >= 2*rampRequests {
		u.asideCount = 0
	}
	// The less the old latency is worth, the more the new one counts.
	weight := max(smoothing, 1-u.freshness(now))
	u.latency += weight * (took.Seconds() - u.latency)
	u.latencyAt = now
}

// fail counts a failure and sets u aside when there are too many in a row, or
// at once if it has just come back.
func (u *upstream) fail(now time.Time) {
	u.failures++
	limit := failLimit
	if u.asideCount > 0 && u.good < rampRequests {
		limit = 1
	}
	if u.failures < limit || now.Before(u.asideUntil) {
		return
	}
	u.asideUntil = now.Add(min(asideBase<<min(u.asideCount, 8), asideMax))
	u.asideCount++
	u.failures, u.good = 0, 0
}

// Observe implements rudderfork.Picker.
func (p *Probing) Observe(vm rudderfork.VMID, l rudderfork.Load, now time.Time) {
	u := p.byVM[vm]
	if u == nil {
		return
	}
	u.load, u.loadAt, u.sentAt = l, now, u.sent
	if l.Down {
		u.failures = max(u.failures, failLimit-1)
		u.fail(now)
	}
}
