package runner

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// report is a report of ends to the leader.
type report struct {
	ends queue.Ends
	left bool   // the incarnation has left, so that all its other runs have ended too
	upTo uint64 // Seq up to which the executor's ends are acknowledged once the report is; 0 for none
}

func (r report) message(id uint64) wire.FromNode {
	return wire.FromNode{Ends: &wire.EndsReport{Seq: id, Ends: r.ends, Departed: r.left}}
}

// handleAck drops a report whose ends the leader has committed. The caller holds mu.
func (a *Agent) handleAck(id uint64) {
	r, ok := a.reports[id]
	if !ok {
		return
	}
	delete(a.reports, id)
	if r.ends.Incarnation != a.reconciler.Incarnation() {
		return
	}
	a.reconciler.ForgetEnded(r.ends.List)
	a.ackedSeq = max(a.ackedSeq, r.upTo)
	close(a.reportAcked)
	a.reportAcked = make(chan struct{})
}

// report sends ends of the present incarnation to the leader. The caller holds mu.
func (a *Agent) report(ends []queue.End, upTo uint64) {
	a.reportFor(a.reconciler.Incarnation(), ends, upTo)
}

// maxReports bounds the reports that wait for a leader. Without it they would grow by a few per
// second while there is no leader, since the executor lists its ends again until they are
// acknowledged.
const maxReports = 32

// reportListed reports the ends that follow from a poll. While maxReports reports wait, it reports
// only lost runs and leaves out the ends that the executor will list again. The caller holds mu.
func (a *Agent) reportListed(ends []queue.End, upTo uint64) {
	if len(a.reports) >= maxReports {
		ends = slices.DeleteFunc(ends, func(e queue.End) bool { return e.Outcome != queue.OutcomeLost })
		upTo = 0
	}
	a.report(ends, upTo)
}

// reportFor sends ends of an incarnation to the leader. The caller holds mu.
func (a *Agent) reportFor(inc string, ends []queue.End, upTo uint64) {
	if len(ends) == 0 {
		return
	}
	for _, e := range ends {
		a.met.ends.WithLabelValues(string(e.Outcome)).Inc()
	}
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Incarnation: inc, List: ends}, upTo: upTo})
}

// send sends a report and keeps it until it is acknowledged. The caller holds mu.
func (a *Agent) send(r report) {
	a.reportID++
	a.reports[a.reportID] = r
	a.session.Send(r.message(a.reportID))
}
