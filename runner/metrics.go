package runner

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the agent's metrics.
type metrics struct {
	calls, ends, overdue *prometheus.CounterVec
	callSeconds          *prometheus.HistogramVec
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "rudderfork", Subsystem: "runner", Name: name, Help: help}
	}
	return &metrics{
		calls:   prometheus.NewCounterVec(counter("calls_total", "Calls of the executor, by kind and outcome."), []string{"call", "outcome"}),
		ends:    prometheus.NewCounterVec(counter("ends_total", "Ends reported, by how."), []string{"how"}),
		overdue: prometheus.NewCounterVec(counter("starts_overdue_total", "Starts that were not confirmed for long, by what they waited for."), []string{"reason"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "rudderfork", Subsystem: "runner", Name: "call_seconds", Help: "Time until the executor answered.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1},
		}, []string{"call"}),
	}
}

// Collectors returns the agent's metrics, for a registry.
func (a *Agent) Collectors() []prometheus.Collector {
	return []prometheus.Collector{a.met.calls, a.met.ends, a.met.overdue, a.met.callSeconds}
}
