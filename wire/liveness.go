package wire

import (
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ErrSilent means that the other end sent nothing for the connection's silence
// limit. Whether what was sent to it has arrived is unknown.
var ErrSilent = errors.New("the other end has fallen silent")

// missedTicks is how many ticks without a byte make a connection silent: one
// keep-alive may be late, and one tick may fall just before the next byte.
const missedTicks = 3

// keepAlive is an empty message, as CBOR. A reader passes over it, also one that
// does not know of it.
var keepAlive = []byte{0xa0}

// Liveness bounds the silence of a connection. Both ends use the same: each sends
// a keep-alive when it has sent nothing else for a tick, and each gives the
// connection up when nothing came for missedTicks ticks while it was reading. So
// each direction is watched by the end that it leads to, and a connection that
// carries messages costs no keep-alives.
//
// It guards against connections that stay open while nothing passes any more,
// because a device on the way has forgotten them: without a bound, a group of
// three replicas all of whose links fell silent knew no leader for the 60 s that
// it was watched. The price, where a direction is idle: 8 bytes and the TCP/IP
// headers a tick.
type Liveness struct {
	kind  string
	limit time.Duration
}

// NewLiveness returns the liveness of a kind of connection, which names it in metrics.
// A silent one is given up after limit at least and 4/3 of it at most.
func NewLiveness(kind string, limit time.Duration) Liveness {
	return Liveness{kind: kind, limit: limit}
}

// Limit returns the least silence after which a connection is given up.
func (l Liveness) Limit() time.Duration { return l.limit }

// tick is the pause between two looks at a connection.
func (l Liveness) tick() time.Duration { return l.limit / missedTicks }

// The liveness of the sessions, whose two ends stand in different packages. The
// nodes ask more of them: an answer to each ping, heartbeat or probe. What is
// bounded here is a connection in itself, at both ends and from its first moment.
var (
	// QueueSession is of fronts and agents with the leader of the queues: six of an
	// agent's heartbeats.
	QueueSession = NewLiveness("queues", 3*time.Second)
	// NodeSession is of entries and agents with the leader of the table: three
	// heartbeats at the default interval of a second.
	NodeSession = NewLiveness("nodes", 3*time.Second)
	// ProbeSession is of an entry with an agent: a probe of an idle agent, every
	// 3 s, and 2 s for its answer.
	ProbeSession = NewLiveness("probes", 5*time.Second)
)

// silentTotal counts the connections that were given up for silence.
var silentTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "rudderfork_silent_connections_total",
	Help: "Connections that were given up since nothing came any more, by kind.",
}, []string{"kind"})

// Collectors returns the metrics of this process's connections.
func Collectors() []prometheus.Collector { return []prometheus.Collector{silentTotal} }

// watch is what a connection has seen since its last tick. It is safe for
// concurrent use.
type watch struct {
	mu       sync.Mutex
	received bool
	sent     bool
	reading  bool
	missed   int // ticks in a row without a byte
}

// noteReceived notes that bytes came.
func (w *watch) noteReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = true
}

// noteSent notes that a message goes out.
func (w *watch) noteSent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = true
}

// setReading notes whether the connection is being setReading. Silence counts only meanwhile:
// what has arrived and is not setReading yet waits unseen.
func (w *watch) setReading(reading bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = reading
	w.missed = 0
}

// tick ends a tick: silent says that the connection is to be given up, idle that
// a keep-alive is due. A process that was held up itself finds one tick missed and
// not many, and reads what has come meanwhile before the next one.
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
