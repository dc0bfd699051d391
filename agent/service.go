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
	// dialTimeout bounds the dial to the upstream, which is on the same VM.
	dialTimeout = time.Second
	// expireInterval is the time between two checks of the deadlines of queued
	// requests.
	expireInterval = 5 * time.Millisecond
	// maxIdleConns bounds the idle connections kept to the upstream: one for each
	// slot, of which a service has at most 64.
	maxIdleConns = 64
	// maxSamples bounds the latencies kept for one heartbeat or pressure window.
	maxSamples = 512
	// pressureWindow is the time over which pressure is measured.
	pressureWindow = time.Second
)

// service is the upstream of one service: its slots, connections and latencies.
type service struct {
	name          rudderfork.Service
	addr          string
	table         *node.Table
	pooled        *http.Transport
	unpooled      *http.Transport // opens a connection for each request
	requestQueued chan struct{}   // signals expireLoop that a request was queued

	mu       sync.Mutex
	queue    *admission.Queue
	waiters  map[uint64]chan admission.Decision
	nextID   uint64
	feeds    int // open feeds
	maxFeeds int

	samples        []time.Duration // latencies since the last heartbeat
	refused        int             // requests refused since the last heartbeat
	busySum        float64         // sum of the slots in use, one sample per request since the last heartbeat
	busySamples    int             // number of samples in busySum
	window         []time.Duration // latencies in the current pressure window
	windowStart    time.Time
	windowPressure float64 // of the last complete window
}

func newService(u UpstreamAddr, t *node.Table) *service {
	s := &service{
		name: u.Service, addr: u.Addr, table: t, waiters: map[uint64]chan admission.Decision{},
		queue: admission.New(admission.Limits{}, 1), requestQueued: make(chan struct{}, 1),
	}
	s.pooled = &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	s.unpooled = s.pooled.Clone()
	s.unpooled.DisableKeepAlives = true
	s.setLimits()
	return s
}

// transport returns the transport for a request to the upstream. A request with a
// claim gets a new connection. On a pooled one that has become unresponsive, or that
// the upstream is closing, it would be unknown whether the request ran, and the
// client could not use its key again.
func (s *service) transport(claimed bool) *http.Transport {
	if claimed {
		return s.unpooled
	}
	return s.pooled
}

// setLimits applies the limits in the table.
func (s *service) setLimits() {
	cell := func(col string) int { return int(s.table.Service(s.name, col)) }
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, conns := cell(rudderfork.ColSlots), cell(rudderfork.ColConnections)
	s.queue.SetLimits(admission.Limits{
		Slots: min(slots, conns), Queue: cell(rudderfork.ColQueue),
		MaxWait: time.Duration(cell(rudderfork.ColTargetMS)) * time.Millisecond,
	})
	s.maxFeeds = max(0, conns-slots) // feeds get only connections that no slot needs
}

// refusal is the reason why a request was not admitted.
type refusal struct {
	kind    string
	reason  string
	retryAt time.Time
}

// admitted is a request that holds a slot, or a connection for a feed.
type admitted struct {
	s        *service
	id       uint64    // 0 for a feed
	started  time.Time // when the request was sent to the upstream
	headerAt time.Time // when the upstream's response headers came; zero if none have come
}

// admit waits for a slot; a feed gets a connection at once or is refused.
func (s *service) admit(ctx context.Context, r *http.Request, deadline time.Time) (*admitted, *refusal) {
	if relay.IsFeed(r.Header) {
		return s.admitFeed()
	}
	team := rudderfork.Team(r.Header.Get(relay.HeaderTeam))
	ch := make(chan admission.Decision, 1)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.waiters[id] = ch
	s.busySum += float64(s.queue.InFlight())
	s.busySamples++
	s.deliver(s.queue.Offer(admission.Request{
		ID: id, Team: team, Weight: s.table.TeamWeight(team), Deadline: deadline,
	}, steady.Now()))
	s.mu.Unlock()
	select {
	case d := <-ch:
		return s.resolve(id, d)
	case <-ctx.Done():
	}
	return s.abandon(id, ch)
}

func (s *service) admitFeed() (*admitted, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feeds >= s.maxFeeds {
		return nil, &refusal{"overload", "all connections for feeds are taken", steady.Now().Add(time.Second)}
	}
	s.feeds++
	return &admitted{s: s}, nil
}

// resolve returns the result of admit for a decision of the queue.
func (s *service) resolve(id uint64, d admission.Decision) (*admitted, *refusal) {
	if d.Verdict == admission.Start {
		return &admitted{s: s, id: id}, nil
	}
	return nil, &refusal{"overload", d.Reason, d.RetryAt}
}

// abandon withdraws a queued request whose caller has disconnected or whose deadline has
// passed.
func (s *service) abandon(id uint64, ch chan admission.Decision) (*admitted, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
	if !s.queue.Cancel(id) {
		select {
		case d := <-ch:
			if d.Verdict == admission.Start {
				s.deliver(s.queue.Done(id, 0, steady.Now())) // returns the slot, which was granted too late
			}
		default:
		}
	}
	return nil, &refusal{"deadline", "the deadline passed while it waited", s.queue.RetryAt(steady.Now())}
}

// deliver passes decisions to the waiting requests. The caller must hold s.mu.
func (s *service) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if d.Verdict == admission.Wait {
			select {
			case s.requestQueued <- struct{}{}:
			default:
			}
			continue
		}
		if d.Verdict == admission.Refuse {
			s.refused++
		}
		if ch := s.waiters[d.ID]; ch != nil {
			delete(s.waiters, d.ID)
			ch <- d
		}
	}
}

// release returns the slot, or the connection of a feed. It records the latency of the
// upstream if there was a response.
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
		s.recordLatency(took, now)
	}
	s.deliver(s.queue.Done(a.id, took, now))
}

// recordLatency records one latency. The caller must hold s.mu.
func (s *service) recordLatency(took time.Duration, now time.Time) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, took)
	}
	if now.Sub(s.windowStart) > pressureWindow {
		s.closeWindow(now)
	}
	if len(s.window) < maxSamples {
		s.window = append(s.window, took)
	}
}

// closeWindow computes the pressure of the current window and starts the next one. The
// caller must hold s.mu.
func (s *service) closeWindow(now time.Time) {
	target := time.Duration(s.table.Service(s.name, rudderfork.ColTargetMS)) * time.Millisecond
	s.windowPressure = 0
	if len(s.window) > 0 {
		s.windowPressure = float64(quantile(s.window, 0.95)) / float64(target)
	}
	s.window, s.windowStart = s.window[:0], now
}

// pressure returns the ratio of the 95th percentile of latency to the target, in the
// last complete window.
func (s *service) pressure() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := steady.Now(); now.Sub(s.windowStart) > pressureWindow {
		s.closeWindow(now)
	}
	return s.windowPressure
}

// expire refuses queued requests that cannot meet their deadline. It reports whether
// any request is still queued.
func (s *service) expire() (more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.queue.Expire(steady.Now()))
	return s.queue.Queued() > 0
}

// expireLoop calls expire periodically while requests are queued.
func (s *service) expireLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.requestQueued:
		}
		tick := time.NewTicker(expireInterval)
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

// usage returns the usage since the last call.
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
		u.Busy = s.busySum / float64(max(1, s.busySamples)) / float64(slots)
	}
	s.samples, s.refused, s.busySum, s.busySamples = s.samples[:0], 0, 0, 0
	return u
}

// quantile sorts ds and returns its q-quantile.
func quantile(ds []time.Duration, q float64) time.Duration {
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}
