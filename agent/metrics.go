package agent

import "github.com/prometheus/client_golang/prometheus"

// collector exports the metrics of an agent.
type collector struct {
	p *Process

	slots, queued, feeds, mean, pressure, tasks, table *prometheus.Desc
}

func newCollector(p *Process) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rudderfork_agent_"+name, help, labels, nil)
	}
	return &collector{
		p:        p,
		slots:    desc("slots_used", "Requests that hold a slot.", "service"),
		queued:   desc("queued", "Requests that wait for a slot.", "service"),
		feeds:    desc("feeds", "Open feeds.", "service"),
		mean:     desc("upstream_seconds", "Moving average of the time in the upstream.", "service"),
		pressure: desc("pressure", "Tail latency over its target.", "service"),
		tasks:    desc("tasks", "Tasks that run here."),
		table:    desc("table_revision", "Revision of the table in force here."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for name, s := range c.p.requests.services {
		l, p := s.load(), s.pressure()
		s.mu.Lock()
		feeds := s.feeds
		s.mu.Unlock()
		gauge(c.slots, float64(l.InFlight), string(name))
		gauge(c.queued, float64(l.Queued), string(name))
		gauge(c.feeds, float64(feeds), string(name))
		gauge(c.mean, l.Latency.Seconds(), string(name))
		gauge(c.pressure, p, string(name))
	}
	c.p.tasks.mu.Lock()
	running := len(c.p.tasks.holder.Running())
	c.p.tasks.mu.Unlock()
	gauge(c.tasks, float64(running))
	gauge(c.table, float64(c.p.table.Revision()))
}
