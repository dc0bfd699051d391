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

// The path as the users run it: 11 upstreams of 8 slots, a few entries.
const (
	pathEntries   = 4
	pathUpstreams = 11
	pathSlots     = 8
	pathMean      = 10 * time.Millisecond
	pathSigma     = 0.6
	pathHop       = 500 * time.Microsecond // one way between failure domains
	pathRun       = 20 * time.Second
	pathWarm      = 4 * time.Second
	pathDeadline  = time.Second
	pathProbe     = 200 * time.Millisecond
	pathAttempts  = 3
	// pathImpatience is when a caller that heeds no Retry-After asks again.
	pathImpatience = 200 * time.Millisecond
)

// pathConfig is one experiment on the request path.
type pathConfig struct {
	picker  func(entry int, seed uint64) rudderfork.Picker
	load    func(t time.Duration) float64 // share of the healthy capacity
	slow    float64                       // how much slower one upstream is; 0 for none
	failing bool                          // one upstream answers errors at once
	retry   func() *routing.RetryBudget   // nil: retries without a budget
	limits  admission.Limits
	naive   bool // callers resend what was refused or late
}

// pathResult is what callers saw.
type pathResult struct {
	took           []time.Duration
	ok, bad, total int
	work           int // requests that took a slot
	goodAt         map[int]int
}

type pathSim struct {
	cfg   pathConfig
	c     *clock
	rng   *rand.Rand
	start time.Time
	ups   []*simUpstream
	ents  []*simEntry
	res   pathResult
	next  uint64
}

type simUpstream struct {
	vm      rudderfork.VMID
	place   rudderfork.Place
	q       *admission.Queue
	ruling  map[uint64]func(admission.Decision)
	mean    time.Duration
	failing bool
}

type simEntry struct {
	picker rudderfork.Picker
	budget *routing.RetryBudget
}

// runPath runs one experiment.
func runPath(cfg pathConfig, seed uint64) pathResult {
	s := &pathSim{cfg: cfg, c: newClock(), rng: rand.New(rand.NewPCG(seed, 11))}
	s.start = s.c.now
	s.res.goodAt = map[int]int{}
	var list []rudderfork.Upstream
	for i := range pathUpstreams {
		vm := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		u := &simUpstream{
			vm: vm, place: rudderfork.Place{VM: vm, Domain: rudderfork.Domain(fmt.Sprint("d", i%3))},
			q: admission.New(cfg.limits, seed+uint64(i)), ruling: map[uint64]func(admission.Decision){}, mean: pathMean,
		}
		if cfg.slow > 0 && i == 0 {
			u.mean = time.Duration(float64(pathMean) * cfg.slow)
		}
		u.failing = cfg.failing && i == 1
		s.ups = append(s.ups, u)
		list = append(list, rudderfork.Upstream{Place: u.place, Addr: string(vm)})
	}
	for e := range pathEntries {
		en := &simEntry{picker: cfg.picker(e, seed*100+uint64(e))}
		if cfg.retry != nil {
			en.budget = cfg.retry()
		}
		en.picker.SetUpstreams(list, s.c.now)
		s.ents = append(s.ents, en)
		s.probe(en)
	}
	s.arrive()
	s.c.run(s.start.Add(pathRun))
	return s.res
}

// capacity is how many requests a second the healthy upstreams can serve.
func (s *pathSim) capacity() float64 {
	total := 0.0
	for _, u := range s.ups {
		if !u.failing {
			total += pathSlots / u.mean.Seconds()
		}
	}
	return total
}

func (s *pathSim) arrive() {
	share := s.cfg.load(s.c.now.Sub(s.start))
	s.c.after(exponential(s.rng, share*s.capacity()), func() {
		s.request(s.c.now, s.c.now.Add(pathDeadline))
		s.arrive()
	})
}

// call is one request on its way.
type simCall struct {
	at, deadline time.Time
	en           *simEntry
	tried        []rudderfork.VMID
}

func (s *pathSim) request(at, deadline time.Time) {
	en := s.ents[s.rng.IntN(len(s.ents))]
	if en.budget != nil {
		en.budget.AddRequest(s.c.now)
	}
	s.try(&simCall{at: at, deadline: deadline, en: en})
}

func (s *pathSim) try(c *simCall) {
	vm, _, ok := c.en.picker.Pick(s.c.now, c.tried)
	if !ok {
		s.end(c, false)
		return
	}
	c.tried = append(c.tried, vm)
	c.en.picker.Sent(vm, s.c.now)
	sent := s.c.now
	s.c.after(pathHop, func() { s.arriveAt(s.find(vm), c, sent) })
}

func (s *pathSim) find(vm rudderfork.VMID) *simUpstream {
	for _, u := range s.ups {
		if u.vm == vm {
			return u
		}
	}
	return nil
}

// arriveAt asks the upstream's agent for a slot.
func (s *pathSim) arriveAt(u *simUpstream, c *simCall, sent time.Time) {
	s.next++
	id := s.next
	u.ruling[id] = func(r admission.Decision) {
		if r.Verdict == admission.Refuse {
			s.c.after(pathHop, func() { s.refused(u, c) })
			return
		}
		s.work(u, c, id, sent)
	}
	s.rule(u, u.q.Offer(admission.Request{ID: id, Weight: 100, Deadline: c.deadline}, s.c.now))
}

func (s *pathSim) rule(u *simUpstream, rs []admission.Decision) {
	for _, r := range rs {
		if f := u.ruling[r.ID]; f != nil && r.Verdict != admission.Wait {
			delete(u.ruling, r.ID)
			f(r)
		}
	}
}

func (s *pathSim) work(u *simUpstream, c *simCall, id uint64, sent time.Time) {
	took := lognormal(s.rng, u.mean, pathSigma)
	if u.failing {
		took = time.Millisecond
	}
	s.res.work++
	s.c.after(took, func() {
		s.rule(u, u.q.Done(id, took, s.c.now))
		s.c.after(pathHop, func() {
			s.observe(c.en, u)
			c.en.picker.Done(u.vm, s.c.now.Sub(sent), u.failing, s.c.now)
			if u.failing {
				s.retry(c)
				return
			}
			s.end(c, true)
		})
	})
}

func (s *pathSim) observe(en *simEntry, u *simUpstream) {
	en.picker.Observe(u.vm, rudderfork.Load{InFlight: u.q.InFlight(), Queued: u.q.Queued(), Slots: pathSlots, Latency: u.q.MeanServiceTime()}, s.c.now)
}

func (s *pathSim) refused(u *simUpstream, c *simCall) {
	s.observe(c.en, u)
	c.en.picker.Done(u.vm, 0, false, s.c.now)
	s.retry(c)
}

func (s *pathSim) retry(c *simCall) {
	if len(c.tried) >= pathAttempts || c.en.budget != nil && !c.en.budget.TryRetry(s.c.now) {
		s.end(c, false)
		return
	}
	s.try(c)
}

func (s *pathSim) end(c *simCall, ok bool) {
	late := s.c.now.After(c.deadline)
	if s.cfg.naive && (!ok || late) && s.c.now.Sub(c.at) < 3*pathDeadline {
		// A caller that does not heed Retry-After asks again soon.
		s.c.after(lognormal(s.rng, pathImpatience, pathSigma), func() { s.request(c.at, s.c.now.Add(pathDeadline)) })
	}
	if s.c.now.Sub(s.start) < pathWarm {
		return
	}
	s.res.total++
	if !ok || late {
		s.res.bad++
		return
	}
	s.res.ok++
	s.res.goodAt[int(s.c.now.Sub(s.start)/time.Second)]++
	s.res.took = append(s.res.took, s.c.now.Sub(c.at))
}

// probe sends load reports to an entry, as its links to agents do.
func (s *pathSim) probe(en *simEntry) {
	s.c.after(pathProbe, func() {
		for _, u := range s.ups {
			s.observe(en, u)
		}
		s.probe(en)
	})
}

var pathLimits = admission.Limits{Slots: pathSlots, Queue: 64, MaxWait: 100 * time.Millisecond}

// pickers are the ways to choose, the product's last.
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

// Upstreams compares the ways to choose an upstream, with one slow and one
// failing upstream among the eleven.
func Upstreams(w io.Writer) {
	printHeading(w, "choice of upstream: 4 entries, 11 upstreams of 8 slots, one 5 times slower, one failing; %d seeds, median [range]", numSeeds)
	fmt.Fprintf(w, "%-16s %5s  %-20s %-22s %-24s %-18s %s\n", "choice", "load", "p50 ms", "p99 ms", "p99.9 ms", "refused %", "goodput /s")
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		for _, p := range pickers {
			var p50, p99, p999, refused, good samples
			for seed := range uint64(numSeeds) {
				r := runPath(pathConfig{
					picker: p.make, load: func(time.Duration) float64 { return load }, slow: 5, failing: true,
					retry: func() *routing.RetryBudget { return routing.NewRetryBudget(0.1) }, limits: pathLimits,
				}, seed)
				p50 = append(p50, ms(quantile(r.took, 0.5)))
				p99 = append(p99, ms(quantile(r.took, 0.99)))
				p999 = append(p999, ms(quantile(r.took, 0.999)))
				refused = append(refused, 100*float64(r.bad)/float64(r.total))
				good = append(good, float64(r.ok)/(pathRun-pathWarm).Seconds())
			}
			fmt.Fprintf(w, "%-16s %4.0f%%  %-20v %-22v %-24v %-18v %v\n", p.name, 100*load, p50, p99, p999, refused, good)
		}
	}
}

// Overload shows a burst of twice the capacity for three seconds and what is
// left of the goodput after it, with callers that ask again soon.
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
			r := runPath(pathConfig{picker: pickers[3].make, load: load, retry: v.budget, limits: v.limits, naive: true}, seed)
			base := 0.8 * pathUpstreams * pathSlots / pathMean.Seconds()
			share := func(a, b int) float64 {
				n := 0
				for t := a; t < b; t++ {
					n += r.goodAt[t]
				}
				return 100 * float64(n) / float64(b-a) / base
			}
			during = append(during, share(from, to))
			after = append(after, share(to+1, to+4))
			last = append(last, share(16, 20))
			work = append(work, float64(r.work)/float64(max(1, r.ok)))
		}
		fmt.Fprintf(w, "%-38s during %-22v 1-4 s after %-22v at the end %-20v slots taken per good answer %v\n", v.name, during, after, last, work)
	}
}
