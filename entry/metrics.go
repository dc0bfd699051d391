package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork/node"
)

// metrics are the metrics of an entry.
type metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	silent   prometheus.Counter
	seconds  *prometheus.HistogramVec
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rudderfork_entry_requests_total", Help: "Requests by how they ended.",
		}, []string{"service", "end"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rudderfork_entry_retries_total", Help: "Attempts after the first.",
		}, []string{"service"}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rudderfork_entry_silent_total", Help: "Attempts that were given up since the agent gave no signs of life.",
		}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rudderfork_entry_seconds", Help: "Time to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service"}),
	}
}

func (m *metrics) register(r *prometheus.Registry, t *node.Table) {
	r.MustRegister(m.requests, m.retries, m.silent, m.seconds, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rudderfork_entry_table_revision", Help: "Revision of the table in force here.",
	}, func() float64 { return float64(t.Revision()) }))
}
