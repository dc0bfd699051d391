package control

import (
	"rudderfork.example/rudderfork/replica"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork/state"
)

// collector exports the metrics of a control process.
type collector struct {
	rep *replica.Replica
	hub *hub

	commit, table, logBytes, leads, sessions, tasks, vms, claims *prometheus.Desc
}

func newCollector(rep *replica.Replica, h *hub) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("rudderfork_control_"+name, help, labels, nil)
	}
	return &collector{
		rep: rep, hub: h,
		commit:   desc("commit_index", "Highest index known committed."),
		table:    desc("table_revision", "Revision of the newest cell."),
		logBytes: desc("log_bytes", "Bytes in the log since the last snapshot."),
		leads:    desc("leads", "1 on the leader."),
		sessions: desc("sessions", "Entries and agents connected here."),
		tasks:    desc("tasks", "Tasks by where they stand.", "phase"),
		vms:      desc("vms", "VMs by whether their lease is in force.", "live"),
		claims:   desc("claims", "Claims remembered."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	st := c.rep.Status()
	gauge(c.commit, float64(st.CommitIndex))
	gauge(c.logBytes, float64(st.LogBytes))
	leads := 0.0
	if c.rep.Leads() {
		leads = 1
	}
	gauge(c.leads, leads)
	gauge(c.sessions, float64(c.hub.sessionCount()))
	c.rep.View(func(s *state.State) {
		gauge(c.table, float64(s.Revision()))
		gauge(c.claims, float64(s.ClaimCount()))
		live := 0
		running := 0
		for _, v := range s.VMs() {
			if v.Live {
				live++
			}
			running += len(s.TasksOn(v.Place.VM))
		}
		gauge(c.vms, float64(live), "true")
		gauge(c.vms, float64(len(s.VMs())-live), "false")
		gauge(c.tasks, float64(running), "running")
		gauge(c.tasks, float64(len(s.Pending())), "pending")
	})
}
