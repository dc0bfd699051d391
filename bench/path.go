package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/admission"
	"rudderfork.example/rudderfork/routing"
)

// The scenario of the simulations of the request path, which is a request's way from an
// entry through an upstream's agent to the upstream. The numbers of upstreams and slots are
// those of the users' site.
const (
	pathEntries       = 4
	pathUpstreams     = 11
	pathSlots         = 8                      // requests that an upstream serves at once
	pathServiceTime   = 10 * time.Millisecond  // mean time that an upstream works on a request
	pathSigma         = 0.6                    // shape of the log-normal service times
	pathHopDelay      = 500 * time.Microsecond // one way between failure domains
	pathDuration      = 20 * time.Second
	pathWarmup        = 4 * time.Second        // not included in the results
	pathDeadline      = time.Second            // from a request to its deadline
	pathProbeInterval = 200 * time.Millisecond // between two load reports to an entry
	pathMaxAttempts   = 3                      // upstreams that an entry tries for a request
	// pathResendDelay is the mean time after which a caller that ignores Retry-After sends a
	// request again.
	pathResendDelay = 200 * time.Millisecond
)

// pathConfig is the configuration of one simulation of the request path.
type pathConfig struct {
	picker      func(entry int, seed uint64) rudderfork.Picker
	load        func(t time.Duration) float64 // offered load at a time of the simulation, as a share of the capacity
	slowdown    float64                       // factor by which one upstream is slower than the others; 0 for none
	failing     bool                          // one upstream answers each request with an error within 1 ms
	retryBudget func() *routing.RetryBudget   // nil for retries without a budget
	limits      admission.Limits
	resend      bool // callers resend requests that failed or were late
}

// pathResult counts the requests that ended after the warm-up, as callers saw them.
type pathResult struct {
	latencies           []time.Duration // of the good requests
	good, failed, total int             // requests answered in time; requests refused, failed or late; all
	slotsTaken          int             // slots taken in the whole simulation, one for each attempt that an upstream served
	goodPerSecond       map[int]int     // good requests by second of the simulation
}

// pathSim simulates one seed of a configuration.
type pathSim struct {
	cfg       pathConfig
	clock     *clock
	rng       *rand.Rand
	start     time.Time
	upstreams []*simUpstream
	entries   []*simEntry
	res       pathResult
	lastID    uint64 // of a request at an upstream's queue
}

// simUpstream is an upstream with its agent's admission queue.
type simUpstream struct {
	vm          rudderfork.VMID
	place       rudderfork.Place
	queue       *admission.Queue
	onDecision  map[uint64]func(admission.Decision) // by request ID; called once the request is admitted or refused
	serviceTime time.Duration                       // mean
	failing     bool
}

// simEntry is an entry.
type simEntry struct {
	picker rudderfork.Picker
	budget *routing.RetryBudget // nil for retries without a budget
}

// runPath simulates one seed of a configuration.
func runPath(cfg pathConfig, seed uint64) pathResult {
	s := &pathSim{cfg: cfg, clock: newClock(), rng: rand.New(rand.NewPCG(seed, 11))}
	s.start = s.clock.now
	s.res.goodPerSecond = map[int]int{}
	var list []rudderfork.Upstream
	for i := range pathUpstreams {
		vm := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		u := &simUpstream{
			vm: vm, place: rudderfork.Place{VM: vm, Domain: rudderfork.Domain(fmt.Sprint("d", i%3))},
			queue: admission.New(cfg.limits, seed+uint64(i)), onDecision: map[uint64]func(admission.Decision){}, serviceTime: pathServiceTime,
		}
		if cfg.slowdown > 0 && i == 0 {
			u.serviceTime = time.Duration(float64(pathServiceTime) * cfg.slowdown)
		}
		u.failing = cfg.failing && i == 1
		s.upstreams = append(s.upstreams, u)
		list = append(list, rudderfork.Upstream{Place: u.place, Addr: string(vm)})
	}
	for e := range pathEntries {
		en := &simEntry{picker: cfg.picker(e, seed*100+uint64(e))}
		if cfg.retryBudget != nil {
			en.budget = cfg.retryBudget()
		}
		en.picker.SetUpstreams(list, s.clock.now)
		s.entries = append(s.entries, en)
		s.scheduleProbe(en)
	}
	s.scheduleArrival()
	s.clock.run(s.start.Add(pathDuration))
	return s.res
}

// capacity returns the requests per second that the upstreams without errors can serve.
func (s *pathSim) capacity() float64 {
	total := 0.0
	for _, u := range s.upstreams {
		if !u.failing {
			total += pathSlots / u.serviceTime.Seconds()
		}
	}
	return total
}

// scheduleArrival schedules the next request and, after it, further ones.
func (s *pathSim) scheduleArrival() {
	share := s.cfg.load(s.clock.now.Sub(s.start))
	s.clock.after(exponential(s.rng, share*s.capacity()), func() {
		s.request(s.clock.now, s.clock.now.Add(pathDeadline))
		s.scheduleArrival()
	})
}

// simCall is one request of a caller.
type simCall struct {
	startedAt, deadline time.Time // startedAt is when the caller first sent the request
	entry               *simEntry
	tried               []rudderfork.VMID // VMs of the attempts so far
}

// request sends a request to a random entry.
func (s *pathSim) request(at, deadline time.Time) {
	en := s.entries[s.rng.IntN(len(s.entries))]
	if en.budget != nil {
		en.budget.AddRequest(s.clock.now)
	}
	s.try(&simCall{startedAt: at, deadline: deadline, entry: en})
}

// try lets the entry send a request to an upstream that it has not tried yet.
func (s *pathSim) try(c *simCall) {
	vm, _, ok := c.entry.picker.Pick(s.clock.now, c.tried)
	if !ok {
		s.finish(c, false)
		return
	}
	c.tried = append(c.tried, vm)
	c.entry.picker.Sent(vm, s.clock.now)
	sent := s.clock.now
	s.clock.after(pathHopDelay, func() { s.offer(s.find(vm), c, sent) })
}

func (s *pathSim) find(vm rudderfork.VMID) *simUpstream {
	for _, u := range s.upstreams {
		if u.vm == vm {
			return u
		}
	}
	return nil
}

// offer asks the upstream's agent for a slot for a request that arrived there.
func (s *pathSim) offer(u *simUpstream, c *simCall, sent time.Time) {
	s.lastID++
	id := s.lastID
	u.onDecision[id] = func(r admission.Decision) {
		if r.Verdict == admission.Refuse {
			s.clock.after(pathHopDelay, func() { s.refused(u, c) })
			return
		}
		s.serve(u, c, id, sent)
	}
	s.applyDecisions(u, u.queue.Offer(admission.Request{ID: id, Weight: 100, Deadline: c.deadline}, s.clock.now))
}

// applyDecisions calls onDecision for the requests that are admitted or refused.
func (s *pathSim) applyDecisions(u *simUpstream, rs []admission.Decision) {
	for _, r := range rs {
		if f := u.onDecision[r.ID]; f != nil && r.Verdict != admission.Wait {
			delete(u.onDecision, r.ID)
			f(r)
		}
	}
}

// serve lets the upstream work on a request in a slot, and answers it.
func (s *pathSim) serve(u *simUpstream, c *simCall, id uint64, sent time.Time) {
	took := lognormal(s.rng, u.serviceTime, pathSigma)
	if u.failing {
		took = time.Millisecond
	}
	s.res.slotsTaken++
	s.clock.after(took, func() {
		s.applyDecisions(u, u.queue.Done(id, took, s.clock.now))
		s.clock.after(pathHopDelay, func() {
			s.reportLoad(c.entry, u)
			c.entry.picker.Done(u.vm, s.clock.now.Sub(sent), u.failing, s.clock.now)
			if u.failing {
				s.retry(c)
				return
			}
			s.finish(c, true)
		})
	})
}

// reportLoad gives the entry's picker the upstream's present load.
func (s *pathSim) reportLoad(en *simEntry, u *simUpstream) {
	en.picker.Observe(u.vm, rudderfork.Load{InFlight: u.queue.InFlight(), Queued: u.queue.Queued(), Slots: pathSlots, Latency: u.queue.MeanServiceTime()}, s.clock.now)
}

// refused handles a refusal by an upstream's agent at the entry.
func (s *pathSim) refused(u *simUpstream, c *simCall) {
	s.reportLoad(c.entry, u)
	c.entry.picker.Done(u.vm, 0, false, s.clock.now)
	s.retry(c)
}

// retry tries another upstream if the attempts and the retry budget allow it.
func (s *pathSim) retry(c *simCall) {
	if len(c.tried) >= pathMaxAttempts || c.entry.budget != nil && !c.entry.budget.TryRetry(s.clock.now) {
		s.finish(c, false)
		return
	}
	s.try(c)
}

// finish ends a request and counts it. ok is false if no upstream answered it without an
// error.
func (s *pathSim) finish(c *simCall, ok bool) {
	late := s.clock.now.After(c.deadline)
	if s.cfg.resend && (!ok || late) && s.clock.now.Sub(c.startedAt) < 3*pathDeadline {
		// A caller that ignores Retry-After sends the request again soon.
		s.clock.after(lognormal(s.rng, pathResendDelay, pathSigma), func() { s.request(c.startedAt, s.clock.now.Add(pathDeadline)) })
	}
	if s.clock.now.Sub(s.start) < pathWarmup {
		return
	}
	s.res.total++
	if !ok || late {
		s.res.failed++
		return
	}
	s.res.good++
	s.res.goodPerSecond[int(s.clock.now.Sub(s.start)/time.Second)]++
	s.res.latencies = append(s.res.latencies, s.clock.now.Sub(c.startedAt))
}

// scheduleProbe schedules periodic load reports to an entry, as its links to agents
// deliver them.
func (s *pathSim) scheduleProbe(en *simEntry) {
	s.clock.after(pathProbeInterval, func() {
		for _, u := range s.upstreams {
			s.reportLoad(en, u)
		}
		s.scheduleProbe(en)
	})
}

var pathLimits = admission.Limits{Slots: pathSlots, Queue: 64, MaxWait: 100 * time.Millisecond}

// pickers are the ways to choose an upstream; the last is the product's.
var pickers = []struct {
	name string
	make func(entry int, seed uint64) rudderfork.Picker
}{
	{"random", func(_ int, seed uint64) rudderfork.Picker { return routing.NewRandom(seed) }},
	{"round robin", func(int, uint64) rudderfork.Picker { return &routing.RoundRobin{} }},
	{"least in flight", func(int, uint64) rudderfork.Picker { return &routing.LeastInFlight{} }},
	{"probing (ours)", func(e int, seed uint64) rudderfork.Picker {
		return routing.NewProbing(rudderfork.Domain(fmt.Sprint("d", e%3)), seed)
	}},
}

// Upstreams prints a comparison of the ways to choose an upstream, with one slow and one
// failing upstream among the eleven.
func Upstreams(w io.Writer) {
	printHeading(w, "choice of upstream: 4 entries, 11 upstreams of 8 slots, one 5 times slower, one failing; %d seeds, median [range]", numSeeds)
	fmt.Fprintf(w, "%-16s %5s  %-20s %-22s %-24s %-18s %s\n", "choice", "load", "p50 ms", "p99 ms", "p99.9 ms", "refused %", "goodput /s")
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		for _, p := range pickers {
			var p50, p99, p999, refused, good samples
			for seed := range uint64(numSeeds) {
				r := runPath(pathConfig{
					picker: p.make, load: func(time.Duration) float64 { return load }, slowdown: 5, failing: true,
					retryBudget: func() *routing.RetryBudget { return routing.NewRetryBudget(0.1) }, limits: pathLimits,
				}, seed)
				p50 = append(p50, ms(quantile(r.latencies, 0.5)))
				p99 = append(p99, ms(quantile(r.latencies, 0.99)))
				p999 = append(p999, ms(quantile(r.latencies, 0.999)))
				refused = append(refused, 100*float64(r.failed)/float64(r.total))
				good = append(good, float64(r.good)/(pathDuration-pathWarmup).Seconds())
			}
			fmt.Fprintf(w, "%-16s %4.0f%%  %-20v %-22v %-24v %-18v %v\n", p.name, 100*load, p50, p99, p999, refused, good)
		}
	}
}

// Overload prints the goodput during and after three seconds of twice the load that the
// upstreams can serve, with callers that ignore Retry-After, by retry budget and queue limit.
func Overload(w io.Writer) {
	const from, to = 6, 9
	printHeading(w, "burst of 2x for %d s, then 80%%: goodput as a share of 80%% of the capacity, callers ask again after about 200 ms; %d seeds", to-from, numSeeds)
	load := func(t time.Duration) float64 {
		if t >= from*time.Second && t < to*time.Second {
			return 2
		}
		return 0.8
	}
	unbounded := admission.Limits{Slots: pathSlots, Queue: 4000, MaxWait: time.Hour}
	for _, v := range []struct {
		name   string
		budget func() *routing.RetryBudget
		limits admission.Limits
	}{
		{"no budget, unbounded queues", nil, unbounded},
		{"no budget, bounded queues", nil, pathLimits},
		{"budget of 10%, unbounded queues", func() *routing.RetryBudget { return routing.NewRetryBudget(0.1) }, unbounded},
		{"budget of 10%, bounded queues (ours)", func() *routing.RetryBudget { return routing.NewRetryBudget(0.1) }, pathLimits},
	} {
		var during, after, last, work samples
		for seed := range uint64(numSeeds) {
			r := runPath(pathConfig{picker: pickers[3].make, load: load, retryBudget: v.budget, limits: v.limits, resend: true}, seed)
			base := 0.8 * pathUpstreams * pathSlots / pathServiceTime.Seconds()
			share := func(a, b int) float64 {
				n := 0
				for t := a; t < b; t++ {
					n += r.goodPerSecond[t]
				}
				return 100 * float64(n) / float64(b-a) / base
			}
			during = append(during, share(from, to))
			after = append(after, share(to+1, to+4))
			last = append(last, share(16, 20))
			work = append(work, float64(r.slotsTaken)/float64(max(1, r.good)))
		}
		fmt.Fprintf(w, "%-38s during %-22v 1-4 s after %-22v at the end %-20v slots taken per good answer %v\n", v.name, during, after, last, work)
	}
}
