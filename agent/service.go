package agent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/admission"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/wire"
)

const (
	// dialTimeout bounds a connection to the upstream, on the same VM.
	dialTimeout = time.Second
	// expirePause is how often waiting requests are checked against their
	// deadlines.
	expirePause = 5 * time.Millisecond
	// maxIdle bounds the kept connections to the upstream; at most 64 slots.
	maxIdle = 64
	// maxSamples bounds the latencies kept for one window.
	maxSamples = 512
	// pressureWindow is the time over which pressure is taken.
	pressureWindow = time.Second
)

// service is one upstream: its slots, its connections and its latencies.
type service struct {
	name   rudderfork.Service
	addr   string
	table  *node.Table
	hc     *http.Transport
	once   *http.Transport // opens a connection for each request
	queued chan struct{}   // a request waits

	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[uint64]chan admission.Decision
	nextID  uint64
	feeds   int
	feedMax int

	samples  []time.Duration // since the last beat
	refused  int
	busySum  float64
	busyN    int
	window   []time.Duration // of the present pressure window
	windowAt time.Time
	level    float64
}

func newService(u UpstreamAddr, t *node.Table) *service {
	s := &service{
		name: u.Service, addr: u.Addr, table: t, waiters: map[uint64]chan admission.Decision{},
		queue: admission.New(admission.Limits{}, 1), queued: make(chan struct{}, 1),
	}
	s.hc = &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: maxIdle,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	s.once = s.hc.Clone()
	s.once.DisableKeepAlives = true
	s.setLimits()
	return s
}

// transport returns what carries a request to the upstream. A claimed one goes on a
// connection of its own, which has just been made: on a kept one that has gone
// silent, or that the upstream is closing, nobody could tell whether it ran, and its
// key would be lost to its caller.
func (s *service) transport(claimed bool) *http.Transport {
	if claimed {
		return s.once
	}
	return s.hc
}

// setLimits takes the limits from the table.
func (s *service) setLimits() {
	cell := func(col string) int { return int(s.table.Service(s.name, col)) }
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, conns := cell(rudderfork.ColSlots), cell(rudderfork.ColConnections)
	s.queue.SetLimits(admission.Limits{
		Slots: min(slots, conns), Queue: cell(rudderfork.ColQueue),
		MaxWait: time.Duration(cell(rudderfork.ColTargetMS)) * time.Millisecond,
	})
	s.feedMax = max(0, conns-slots) // feeds never take what slots need
}

// refusal says why a request was not admitted.
type refusal struct {
	kind    string
	reason  string
	retryAt time.Time
}

// admitted is a request that holds a slot, or a connection for a feed.
type admitted struct {
	s        *service
	id       uint64 // 0 for a feed
	started  time.Time
	headerAt time.Time
}

// admit waits for a slot.
func (s *service) admit(ctx context.Context, r *http.Request, deadline time.Time) (*admitted, *refusal) {
	if relay.Feed(r.Header) {
		return s.admitFeed()
	}
	team := rudderfork.Team(r.Header.Get(relay.HeaderTeam))
	ch := make(chan admission.Decision, 1)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.waiters[id] = ch
	s.busySum += float64(s.queue.InFlight())
	s.busyN++
	s.rule(s.queue.Offer(admission.Request{
		ID: id, Team: team, Weight: s.table.TeamWeight(team), Deadline: deadline,
	}, steady.Now()))
	s.mu.Unlock()
	select {
	case ru := <-ch:
		return s.ruled(id, ru)
	case <-ctx.Done():
	}
	return s.gaveUp(id, ch)
}

func (s *service) admitFeed() (*admitted, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feeds >= s.feedMax {
		return nil, &refusal{"overload", "all connections for feeds are taken", steady.Now().Add(time.Second)}
	}
	s.feeds++
	return &admitted{s: s}, nil
}

func (s *service) ruled(id uint64, ru admission.Decision) (*admitted, *refusal) {
	if ru.Verdict == admission.Start {
		return &admitted{s: s, id: id}, nil
	}
	return nil, &refusal{"overload", ru.Reason, ru.RetryAt}
}

// gaveUp handles a caller that left, or whose deadline passed, while it waited.
func (s *service) gaveUp(id uint64, ch chan admission.Decision) (*admitted, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	if !s.queue.Cancel(id) {
		select {
		case ru := <-ch:
			if ru.Verdict == admission.Start {
				s.rule(s.queue.Done(id, 0, steady.Now())) // the slot came too late
			}
		default:
		}
	}
	return nil, &refusal{"deadline", "the deadline passed while it waited", s.queue.RetryAt(steady.Now())}
}

// rule passes decisions to those that wait. s.mu is held.
func (s *service) rule(rs []admission.Decision) {
	for _, ru := range rs {
		if ru.Verdict == admission.Wait {
			select {
			case s.queued <- struct{}{}:
			default:
			}
			continue
		}
		if ru.Verdict == admission.Refuse {
			s.refused++
		}
		if ch := s.waiters[ru.ID]; ch != nil {
			delete(s.waiters, ru.ID)
			ch <- ru
		}
	}
}

// release gives the slot back and notes how long the upstream took.
func (a *admitted) release() {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.id == 0 {
		s.feeds--
		return
	}
	now := steady.Now()
	var took time.Duration
	if !a.headerAt.IsZero() {
		took = now.Sub(a.started)
		s.note(took, now)
	}
	s.rule(s.queue.Done(a.id, took, now))
}

// note takes down one latency. s.mu is held.
func (s *service) note(took time.Duration, now time.Time) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, took)
	}
	if now.Sub(s.windowAt) > pressureWindow {
		s.closeWindow(now)
	}
	if len(s.window) < maxSamples {
		s.window = append(s.window, took)
	}
}

func (s *service) closeWindow(now time.Time) {
	target := time.Duration(s.table.Service(s.name, rudderfork.ColTargetMS)) * time.Millisecond
	s.level = 0
	if len(s.window) > 0 {
		s.level = float64(quantile(s.window, 0.95)) / float64(target)
	}
	s.window, s.windowAt = s.window[:0], now
}

// pressure is the 95th percentile over the target in the last whole window.
func (s *service) pressure() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := steady.Now(); now.Sub(s.windowAt) > pressureWindow {
		s.closeWindow(now)
	}
	return s.level
}

// expire refuses what waits in vain, and reports whether something still waits.
func (s *service) expire() (more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule(s.queue.Expire(steady.Now()))
	return s.queue.Queued() > 0
}

// watch calls expire again and again while requests wait.
func (s *service) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.queued:
		}
		tick := time.NewTicker(expirePause)
		for ctx.Err() == nil && s.expire() {
			<-tick.C
		}
		tick.Stop()
	}
}

func (s *service) load() rudderfork.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rudderfork.Load{
		InFlight: s.queue.InFlight(), Queued: s.queue.Queued(),
		Slots: int(s.table.Service(s.name, rudderfork.ColSlots)), Latency: s.queue.MeanServiceTime(),
	}
}

// usage sums up the time since the last call.
func (s *service) usage() wire.ServiceUsage {
	slots := max(1, s.table.Service(s.name, rudderfork.ColSlots))
	s.mu.Lock()
	defer s.mu.Unlock()
	u := wire.ServiceUsage{Service: s.name, Requests: len(s.samples), Refused: s.refused}
	if len(s.samples) > 0 {
		var sum time.Duration
		for _, d := range s.samples {
			sum += d
		}
		u.MeanUS = (sum / time.Duration(len(s.samples))).Microseconds()
		u.TailUS = quantile(s.samples, 0.95).Microseconds()
		u.Busy = s.busySum / float64(max(1, s.busyN)) / float64(slots)
	}
	s.samples, s.refused, s.busySum, s.busyN = s.samples[:0], 0, 0, 0
	return u
}

// quantile sorts ds and returns its q-quantile.
func quantile(ds []time.Duration, q float64) time.Duration {
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}
