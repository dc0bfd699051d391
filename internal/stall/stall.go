// Package stall watches how late a process gets to run.
//
// A process with a share of a core may stand still for a while: it collects garbage, one
// goroutine holds the processor, or the machine gives it no time. Others take its silence
// for a failure, and its own log shows nothing but a gap.
package stall

import (
	"context"
	"runtime/metrics"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/steady"
)

const (
	// tick is between two looks.
	tick = 20 * time.Millisecond
	// logFrom is the delay from which a look is logged: others wait for a heartbeat of a
	// process as long.
	logFrom = 100 * time.Millisecond
)

// Names of runtime/metrics.
const (
	collecting = "/cpu/classes/gc/total:cpu-seconds"
	working    = "/cpu/classes/user:cpu-seconds"
	idling     = "/cpu/classes/idle:cpu-seconds"
	cycles     = "/gc/cycles/total:gc-cycles"
	heap       = "/memory/classes/heap/objects:bytes"
)

// Watch is a service that looks at the clock again and again.
type Watch struct {
	log   zerolog.Logger
	delay prometheus.Histogram
}

// New returns a watch.
func New(log zerolog.Logger) *Watch {
	return &Watch{log: log, delay: prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "rudderfork", Subsystem: "process", Name: "delay_seconds",
		Help: "How late a timer of this process was served.", Buckets: []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2.5},
	})}
}

// Collectors returns the watch's metrics, for a registry.
func (w *Watch) Collectors() []prometheus.Collector { return []prometheus.Collector{w.delay} }

// String names the service in the supervisor's log.
func (w *Watch) String() string { return "stall-watch" }

// Serve implements suture.Service.
func (w *Watch) Serve(ctx context.Context) error {
	before := usage()
	for ctx.Err() == nil {
		began := steady.Now()
		steady.Pause(ctx, tick)
		late := steady.Now().Sub(began) - tick
		now := usage()
		w.delay.Observe(max(0, late.Seconds()))
		if late >= logFrom {
			w.log.Warn().Dur("late", late).Dur("collecting", now.collecting-before.collecting).
				Dur("working", now.working-before.working).Dur("idle", now.idle-before.idle).
				Uint64("cycles", now.cycles-before.cycles).Uint64("heap_mb", now.heap>>20).Msg("process_stalled")
		}
		before = now
	}
	return ctx.Err()
}

// spent is what a process has used since its start, as its runtime accounts for it.
type spent struct {
	collecting, working, idle time.Duration
	cycles, heap              uint64
}

func usage() spent {
	s := []metrics.Sample{{Name: collecting}, {Name: working}, {Name: idling}, {Name: cycles}, {Name: heap}}
	metrics.Read(s)
	seconds := func(i int) time.Duration { return time.Duration(s[i].Value.Float64() * float64(time.Second)) }
	return spent{seconds(0), seconds(1), seconds(2), s[3].Value.Uint64(), s[4].Value.Uint64()}
}
