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
	cyclesName = "/gc/cycles/total:gc-cycles"
	heapName   = "/memory/classes/heap/objects:bytes"
)

// Watch is a service that looks at the clock again and again.
type Watch struct {
	log   zerolog.Logger
	delay prometheus.Histogram
	// cycles is how many garbage collections had ended at the stall before.
	cycles uint64
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
	for ctx.Err() == nil {
		due := steady.Now().Add(tick)
		steady.Pause(ctx, tick)
		w.observe(steady.Now().Sub(due))
	}
	return ctx.Err()
}

// observe notes how late a timer was served.
func (w *Watch) observe(late time.Duration) {
	w.delay.Observe(max(0, late.Seconds()))
	if late < logFrom {
		return
	}
	now := []metrics.Sample{{Name: cyclesName}, {Name: heapName}}
	metrics.Read(now)
	cycles := now[0].Value.Uint64()
	w.log.Warn().Dur("late", late).Uint64("collections", cycles-w.cycles).Uint64("heap_mb", now[1].Value.Uint64()>>20).Msg("process_stalled")
	w.cycles = cycles
}
