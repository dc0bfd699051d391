package scheduler

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the scheduler's metrics.
type metrics struct {
	commit, plan, round      prometheus.Histogram
	starts, copies, stops    prometheus.Counter
	lost, departed           prometheus.Counter
	suspected, givenUp       prometheus.Counter
	overdue                  prometheus.Gauge
	ends, lostRuns, requests *prometheus.CounterVec
	response, startWait      *prometheus.HistogramVec
}

// latencyBuckets are the upper bounds of the buckets of histograms, in seconds. They suit latency
// objectives of a few hundred milliseconds.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

func newMetrics() *metrics {
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: "rudderfork", Subsystem: "queue", Name: name, Help: help, Buckets: latencyBuckets}
	}
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "rudderfork", Subsystem: "queue", Name: name, Help: help}
	}
	return &metrics{
		commit:   prometheus.NewHistogram(histogram("commit_seconds", "From a command's proposal until it is applied.")),
		plan:     prometheus.NewHistogram(histogram("plan_seconds", "Time taken to make one plan.")),
		round:    prometheus.NewHistogram(histogram("round_seconds", "Time taken by one round: losses, plan, commit, orders.")),
		starts:   prometheus.NewCounter(counter("starts_total", "Runs started.")),
		copies:   prometheus.NewCounter(counter("copies_total", "Of these, second runs beside a first.")),
		stops:    prometheus.NewCounter(counter("stops_total", "Runs asked to stop.")),
		lost:     prometheus.NewCounter(counter("vms_lost_total", "VMs whose lease ran out.")),
		departed: prometheus.NewCounter(counter("vms_left_total", "VMs whose executor left as planned.")),
		overdue: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "rudderfork", Subsystem: "queue", Name: "runs_overdue", Help: "Runs that their VMs, which are in session, do not report.",
		}),
		suspected: prometheus.NewCounter(counter("suspected_total", "Tasks that were suspected of a crash of their executor.")),
		givenUp:   prometheus.NewCounter(counter("given_up_total", "Tasks given up since executors crash under them.")),
		ends:      prometheus.NewCounterVec(counter("ends_total", "Runs that ended, by how."), []string{"how"}),
		lostRuns:  prometheus.NewCounterVec(counter("gone_total", "Runs that ended with a life of their executor, by how that ended."), []string{"how"}),
		requests:  prometheus.NewCounterVec(counter("asks_total", "Calls of fronts, by kind and outcome."), []string{"kind", "outcome"}),
		startWait: prometheus.NewHistogramVec(histogram("start_wait_seconds", "From a task's turn until its first start is committed, by kind."), []string{"kind"}),
		response:  prometheus.NewHistogramVec(histogram("answer_seconds", "Time until a front's call is answered."), []string{"kind"}),
	}
}

// Collectors returns the scheduler's metrics, for a registry.
func (s *Scheduler) Collectors() []prometheus.Collector {
	m := s.met
	sessions := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "rudderfork", Subsystem: "queue", Name: "sessions", Help: "Fronts and agents connected here.",
	}, s.sessionCount)
	list := []prometheus.Collector{sessions, newAttainedService(s), m.commit, m.plan, m.round, m.starts, m.copies, m.stops, m.lost, m.departed, m.overdue, m.suspected, m.givenUp, m.ends, m.lostRuns, m.requests, m.response, m.startWait}
	list = append(list, s.learnedCollectors()...)
	return append(list, s.admission.collectors()...)
}

func (s *Scheduler) sessionCount() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.sessions))
}
