package wire

import (
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ErrSilent means that nothing was received for the connection's silence limit. Whether messages
// sent before have arrived is unknown.
var ErrSilent = errors.New("the other end has fallen silent")

// missedTicks is the number of ticks without a byte after which a connection is silent: one
// keep-alive may be late, and one tick may end just before the next byte.
const missedTicks = 3

// keepAlive is an empty message, as CBOR. Readers ignore it, including readers that do not know
// keep-alives.
var keepAlive = []byte{0xa0}

// Liveness bounds the silence of a connection. Both ends use the same limits: each end sends a
// keep-alive when it has sent nothing else for a tick, and closes the connection when it has
// received nothing for missedTicks ticks while it was reading. Each direction is therefore watched
// by its receiver, and a busy connection needs no keep-alives.
//
// It guards against connections that stay open while nothing passes, because a device on the path
// has dropped their state. Without a bound, three replicas whose connections all fell silent still had
// no leader after 60 s. The cost in an idle direction is 8 bytes and the
// TCP/IP headers per tick.
type Liveness struct {
	kind  string
	limit time.Duration
}

// NewLiveness returns the liveness of a kind of connection; kind is a label of the metrics. A
// silent connection is closed after at least limit and at most 4/3 of it.
func NewLiveness(kind string, limit time.Duration) Liveness {
	return Liveness{kind: kind, limit: limit}
}

// Limit returns the shortest silence after which a connection is closed.
func (l Liveness) Limit() time.Duration { return l.limit }

// tick returns the interval between two checks of a connection.
func (l Liveness) tick() time.Duration { return l.limit / missedTicks }

// The liveness of the sessions, whose two ends are in different packages. It bounds the
// silence of the connection itself, at both ends and from its start. The nodes also expect a
// response to each ping, heartbeat or probe.
var (
	// QueueSession connects fronts and agents to the leader, for the queues. The limit is six
	// heartbeat intervals of an agent.
	QueueSession = NewLiveness("queues", 3*time.Second)
	// NodeSession connects entries and agents to the leader, for the table and the leases. The limit
	// is three heartbeats at the default interval of 1 s.
	NodeSession = NewLiveness("nodes", 3*time.Second)
	// ProbeSession connects an entry to an agent. The limit is the interval of the probes of an
	// idle agent, 3 s, and 2 s for the response.
	ProbeSession = NewLiveness("probes", 5*time.Second)
)

// silentTotal counts the connections closed for silence.
var silentTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "rudderfork_silent_connections_total",
	Help: "Connections that were given up since nothing came any more, by kind.",
}, []string{"kind"})

// Collectors returns the metrics of the connections of this process.
func Collectors() []prometheus.Collector { return []prometheus.Collector{silentTotal} }

// watch records the activity of a connection since its last tick. It is safe for concurrent use.
type watch struct {
	mu       sync.Mutex
	received bool
	sent     bool
	reading  bool
	missed   int // consecutive ticks without a byte
}

// noteReceived records that bytes were received.
func (w *watch) noteReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = true
}

// noteSent records that a message is sent.
func (w *watch) noteSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = true
}

// setReading records whether the connection is being read. Silence counts only while it is, since
// received bytes that wait in the socket are not seen.
func (w *watch) setReading(reading bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = reading
	w.missed = 0
}

// tick ends a tick. silent means that the connection must be closed, idle that a keep-alive is due.
// A process that was stalled counts one missed tick and not many, and reads the bytes that arrived
// meanwhile before the next tick.
func (w *watch) tick() (silent, idle bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received || !w.reading {
		w.missed = 0
	} else {
		w.missed++
	}
	idle = !w.sent
	w.received, w.sent = false, false
	return w.missed >= missedTicks, idle
}
