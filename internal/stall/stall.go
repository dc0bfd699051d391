// Package stall measures how late the timers of a process fire.
//
// A process that has only a share of a core may be delayed by garbage collection, by a
// goroutine that occupies the processor, or by the operating system's scheduler. Other
// processes then miss its heartbeats and consider it failed, while its own log shows only
// a gap.
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
	// tick is the time between two measurements.
	tick = 20 * time.Millisecond
	// logThreshold is the shortest delay that is logged. Other processes wait this long
	// for a heartbeat of the process.
	logThreshold = 100 * time.Millisecond
)

// Names of runtime/metrics.
const (
	cyclesName = "/gc/cycles/total:gc-cycles"
	heapName   = "/memory/classes/heap/objects:bytes"
)

// Watch is a service that measures the delay of a timer once per tick.
type Watch struct {
	log   zerolog.Logger
	delay prometheus.Histogram
	// cycles is the number of garbage collections completed at the previous stall.
	cycles uint64
}

// New returns a watch that logs stalls to log.
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

// observe records how late a timer fired, and logs it from logThreshold on.
func (w *Watch) observe(late time.Duration) {
	w.delay.Observe(max(0, late.Seconds()))
	if late < logThreshold {
		return
	}
	now := []metrics.Sample{{Name: cyclesName}, {Name: heapName}}
	metrics.Read(now)
	cycles := now[0].Value.Uint64()
	w.log.Warn().Dur("late", late).Uint64("collections", cycles-w.cycles).Uint64("heap_mb", now[1].Value.Uint64()>>20).Msg("process_stalled")
	w.cycles = cycles
}
