package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork/fairshare"
)

// maxShareLines bounds the number of lines about shares that are logged at a time.
const maxShareLines = 16

// newShares returns the accounts of the groups of callers; nil without Policies.ShareFairly.
func newShares(p Policies) *fairshare.Ledger {
	if !p.ShareFairly {
		return nil
	}
	return fairshare.New(p.ShareWeights)
}

// shares returns the groups of callers.
func (s *Scheduler) shares() []fairshare.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.shares.Groups()
}

// logShares logs the groups of the queues for whose capacity more than one group competes: those
// that are the furthest from their shares, up to maxShareLines.
func (s *Scheduler) logShares() {
	list := competing(s.shares())
	slices.SortStableFunc(list, func(a, b fairshare.Status) int {
		return cmp.Compare(math.Abs(b.Lag), math.Abs(a.Lag))
	})
	for _, g := range list[:min(len(list), maxShareLines)] {
		s.log.Info().Str("queue", g.Queue).Str("origin", g.Origin).Float64("weight", g.Weight).Float64("attained", g.Attained).
			Float64("share", g.Share).Float64("lag", g.Lag).Float64("bound", g.Bound).Int("waiting", g.Waiting).
			Str("standing", string(g.Standing)).Int("groups", len(list)).Msg("shares")
	}
}

// competing returns the groups that have a share, of queues with more than one of them.
func competing(list []fairshare.Status) []fairshare.Status {
	with := map[string]int{}
	for _, g := range list {
		if g.Share > 0 {
			with[g.Queue]++
		}
	}
	return slices.DeleteFunc(list, func(g fairshare.Status) bool { return g.Share == 0 || with[g.Queue] < 2 })
}

// attainedService is the collector of the service that the groups of callers have attained. Only a
// leader has any.
type attainedService struct {
	s    *Scheduler
	desc *prometheus.Desc
}

func newAttainedService(s *Scheduler) attainedService {
	return attainedService{s, prometheus.NewDesc("rudderfork_queue_attained_core_seconds",
		"Processors that the tasks of a queue and origin have used, times the time, since this process leads.", []string{"queue", "origin"}, nil)}
}

// Describe implements prometheus.Collector.
func (c attainedService) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c attainedService) Collect(ch chan<- prometheus.Metric) {
	if c.s.currentTerm() == 0 {
		return
	}
	for _, g := range c.s.shares() {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, g.Attained, g.Queue, g.Origin)
	}
}
