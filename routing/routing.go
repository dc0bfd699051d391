// Package routing chooses an upstream for each request, and limits retries.
//
// Each entry chooses on its own and shares no state with others. It learns the load
// of an upstream from the upstream's responses, from probes and from the number of its
// own requests in flight there. The pickers do no I/O; the entry passes events and
// times.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// maxCandidates is the number of upstreams drawn at random and compared for a
	// request.
	maxCandidates = 3
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// maxLoadAge is the age above which a reported load is ignored.
	maxLoadAge = time.Second
	// latencyTimeScale is the age at which a measured latency has half of its weight.
	// An upstream that was slow is tried again after a few multiples of it.
	latencyTimeScale = 2 * time.Second
	// costTolerance is the factor on a cost below which another cost must be to count as
	// lower. Between upstreams of closer costs the random order decides.
	costTolerance = 0.95
	// unknownLatencyFactor is the expected latency of an upstream of unknown latency,
	// as a multiple of the mean latency. It is below 1, so that the entry tries such
	// upstreams.
	unknownLatencyFactor = 0.8
	// initialLatency is the mean latency assumed before any is known, in seconds.
	initialLatency = 0.01
	// remoteDomainCost is added to the cost of upstreams in other failure domains than
	// the entry's.
	remoteDomainCost = 300 * time.Microsecond
	// maxFailures is the number of consecutive failures at which an upstream is
	// ejected, which means that it gets no requests. The first ejection lasts
	// baseEjection, each further one twice as long, up to maxEjection.
	maxFailures  = 3
	baseEjection = 500 * time.Millisecond
	maxEjection  = 30 * time.Second
	// rampSuccesses is the number of successful responses after an ejection before an
	// upstream gets more than one request at a time. After twice as many, its next
	// ejection lasts baseEjection again.
	rampSuccesses = 5
	// defaultSlots is assumed of an upstream that hasn't reported its slots.
	defaultSlots = 8
)

// Probing is the default picker. It draws maxCandidates upstreams at random. Among
// those with a free slot it picks the one of least cost. If none has a free slot, it
// picks the one with the fewest requests (the hot/cold rule of Prequal, NSDI 2024). It
// implements rudderfork.Picker.
type Probing struct {
	domain    rudderfork.Domain
	rng       *rand.Rand
	upstreams []*upstream
	byVM      map[rudderfork.VMID]*upstream
}

// upstream is the state of one upstream at one entry.
type upstream struct {
	rudderfork.Upstream
	outstanding       int             // requests of this entry in flight
	load              rudderfork.Load // as last reported
	loadAt            time.Time       // when it was reported; zero if never
	outstandingAtLoad int             // value of outstanding when load was reported
	latency           float64         // moving average, seconds
	latencyAt         time.Time       // time of the newest latency; zero if there is none

	failures     int       // consecutive failures since the last ejection
	ejectedUntil time.Time // end of the last ejection; zero if there was none
	ejections    int       // number of ejections; 0 again after 2*rampSuccesses successes
	successes    int       // successful responses since the last ejection
}

// NewProbing returns a picker for an entry in the given failure domain.
func NewProbing(domain rudderfork.Domain, seed uint64) *Probing {
	return &Probing{domain: domain, rng: rand.New(rand.NewPCG(seed, 3)), byVM: map[rudderfork.VMID]*upstream{}}
}

// SetUpstreams implements rudderfork.Picker.
func (p *Probing) SetUpstreams(us []rudderfork.Upstream, _ time.Time) {
	old := p.byVM
	p.byVM, p.upstreams = map[rudderfork.VMID]*upstream{}, nil
	for _, u := range us {
		up := old[u.Place.VM]
		if up == nil || up.Addr != u.Addr {
			up = &upstream{}
		}
		up.Upstream = u
		p.byVM[u.Place.VM] = up
		p.upstreams = append(p.upstreams, up)
	}
}

// Pick implements rudderfork.Picker.
func (p *Probing) Pick(now time.Time, tried []rudderfork.VMID) (vm rudderfork.VMID, reason string, ok bool) {
	usable := p.usable(now, tried)
	if len(usable) == 0 {
		return "", "", false
	}
	drawn := p.draw(usable)
	mean := p.meanLatency(now)
	best := drawn[0]
	for _, u := range drawn[1:] {
		if p.better(u, best, mean, now) {
			best = u
		}
	}
	reason = fmt.Sprintf("least cost of %d drawn from %d usable: about %d requests there, %.1f ms expected",
		len(drawn), len(usable), best.inFlight(now), 1000*best.expected(mean, now))
	return best.Place.VM, reason, true
}

// usable returns the upstreams that may get a request: those that accept one, or if
// there are none, all others that aren't leaving, since a request to an ejected
// upstream may still succeed.
func (p *Probing) usable(now time.Time, tried []rudderfork.VMID) []*upstream {
	var accepting, rest []*upstream
	for _, u := range p.upstreams {
		if u.load.Leaving && now.Sub(u.loadAt) < maxLeavingAge || contains(tried, u.Place.VM) {
			continue
		}
		if u.accepts(now) {
			accepting = append(accepting, u)
		} else {
			rest = append(rest, u)
		}
	}
	if len(accepting) == 0 {
		return rest
	}
	return accepting
}

// maxLeavingAge is the age above which a report that an upstream is leaving is
// ignored.
const maxLeavingAge = 10 * time.Second

func contains(vms []rudderfork.VMID, vm rudderfork.VMID) bool {
	for _, v := range vms {
		if v == vm {
			return true
		}
	}
	return false
}

// accepts reports whether u may get another request: it isn't ejected, and after an
// ejection it gets one request at a time until rampSuccesses responses.
func (u *upstream) accepts(now time.Time) bool {
	if now.Before(u.ejectedUntil) {
		return false
	}
	return u.ejections == 0 || u.successes >= rampSuccesses || u.outstanding == 0
}

// draw returns up to maxCandidates of us, chosen at random.
func (p *Probing) draw(us []*upstream) []*upstream {
	for i := range min(maxCandidates, len(us)) {
		j := i + p.rng.IntN(len(us)-i)
		us[i], us[j] = us[j], us[i]
	}
	return us[:min(maxCandidates, len(us))]
}

// better reports whether a is better than b by the hot/cold rule. An upstream with a
// free slot is cold and better than a hot one. Of two hot ones that with fewer requests
// is better, of others that with a clearly lower cost. mean is the mean latency in
// seconds.
func (p *Probing) better(a, b *upstream, mean float64, now time.Time) bool {
	fa, fb := a.inFlight(now), b.inFlight(now)
	coldA, coldB := fa < a.slots(), fb < b.slots()
	switch {
	case coldA != coldB:
		return coldA
	case !coldA && fa != fb:
		return fa < fb
	}
	return p.cost(a, mean, now) < costTolerance*p.cost(b, mean, now)
}

// cost returns the expected latency in seconds, raised by the requests in flight
// and, in another failure domain, by remoteDomainCost.
func (p *Probing) cost(u *upstream, mean float64, now time.Time) float64 {
	c := u.expected(mean, now) * (1 + float64(u.inFlight(now))/float64(u.slots()))
	if u.Place.Domain != p.domain {
		c += remoteDomainCost.Seconds()
	}
	return c
}

func (u *upstream) slots() int {
	if u.load.Slots > 0 {
		return u.load.Slots
	}
	return defaultSlots
}

// inFlight returns the number of requests at u: the last reported one, corrected by
// the requests that this entry has sent and completed since. If the report is too
// old, it returns the number of requests of this entry.
func (u *upstream) inFlight(now time.Time) int {
	if now.Sub(u.loadAt) > maxLoadAge {
		return u.outstanding
	}
	return max(u.outstanding, u.load.InFlight+u.load.Queued+u.outstanding-u.outstandingAtLoad)
}

// expected returns the expected latency in seconds: a weighted mean of the measured
// latency and of the mean latency times unknownLatencyFactor. The weight of the former
// decreases with its age.
func (u *upstream) expected(mean float64, now time.Time) float64 {
	w := u.freshness(now)
	return w*u.latency + (1-w)*unknownLatencyFactor*mean
}

// freshness returns the weight of the latency by its age: 1 when new, falling
// towards 0.
func (u *upstream) freshness(now time.Time) float64 {
	if u.latencyAt.IsZero() {
		return 0
	}
	age := now.Sub(u.latencyAt).Seconds() / latencyTimeScale.Seconds()
	return 1 / (1 + age*age)
}

// meanLatency returns the mean latency over the upstreams in seconds, weighted by
// freshness.
func (p *Probing) meanLatency(now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, u := range p.upstreams {
		w := u.freshness(now)
		sum += w * u.latency
		weight += w
	}
	if weight == 0 {
		return initialLatency
	}
	return sum / weight
}

// Sent implements rudderfork.Picker.
func (p *Probing) Sent(vm rudderfork.VMID, _ time.Time) {
	if u := p.byVM[vm]; u != nil {
		u.outstanding++
	}
}

// Done implements rudderfork.Picker.
func (p *Probing) Done(vm rudderfork.VMID, took time.Duration, failed bool, now time.Time) {
	u := p.byVM[vm]
	if u == nil {
		return
	}
	u.outstanding = max(0, u.outstanding-1)
	if failed {
		u.fail(now)
		return
	}
	u.failures = 0
	if took <= 0 {
		return // as for a refusal or a feed (relay.IsFeed), which say nothing about latency
	}
	u.successes++
	if u.successes >= 2*rampSuccesses {
		u.ejections = 0
	}
	// The older the average, the greater the weight of the new latency.
	weight := max(latencyWeight, 1-u.freshness(now))
	u.latency += weight * (took.Seconds() - u.latency)
	u.latencyAt = now
}

// fail counts a failure. It ejects u after maxFailures consecutive ones, or after one
// if fewer than rampSuccesses successful responses came since the last ejection.
func (u *upstream) fail(now time.Time) {
	u.failures++
	limit := maxFailures
	if u.ejections > 0 && u.successes < rampSuccesses {
		limit = 1
	}
	if u.failures < limit || now.Before(u.ejectedUntil) {
		return
	}
	u.ejectedUntil = now.Add(min(baseEjection<<min(u.ejections, 8), maxEjection))
	u.ejections++
	u.failures, u.successes = 0, 0
}

// Observe implements rudderfork.Picker.
func (p *Probing) Observe(vm rudderfork.VMID, l rudderfork.Load, now time.Time) {
	u := p.byVM[vm]
	if u == nil {
		return
	}
	u.load, u.loadAt, u.outstandingAtLoad = l, now, u.outstanding
	if l.Down { // counts as maxFailures consecutive failures
		u.failures = max(u.failures, maxFailures-1)
		u.fail(now)
	}
}
