package runner

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// report is ends on their way to the leader.
type report struct {
	ends queue.Ends
	left bool   // the life has left: whatever else ran there is over
	upTo uint64 // row of the executor's list that they reach
}

func (r report) message(id uint64) wire.FromNode {
	return wire.FromNode{Ends: &wire.EndsReport{Seq: id, Ends: r.ends, Departed: r.left}}
}

// takeNoted forgets ends that are committed. The caller holds mu.
func (a *Agent) takeNoted(id uint64) {
	r, ok := a.reports[id]
	if !ok {
		return
	}
	delete(a.reports, id)
	if r.ends.Incarnation != a.keeper.Incarnation() {
		return
	}
	a.keeper.ForgetEnded(r.ends.List)
	a.acked = max(a.acked, r.upTo)
	close(a.noted)
	a.noted = make(chan struct{})
}

// report sends ends of the present life to the leader. The caller holds mu.
func (a *Agent) report(ends []queue.End, upTo uint64) {
	a.reportOf(a.keeper.Incarnation(), ends, upTo)
}

// maxReports bounds the reports that wait for a leader: the executor lists its
// ends again until they are noted, a few times a second.
const maxReports = 32

// reportLooked sends the ends of an account. While many reports wait, it leaves
// those to the next account that the executor will list again. The caller holds
// mu.
func (a *Agent) reportLooked(ends []queue.End, upTo uint64) {
	if len(a.reports) >= maxReports {
		ends = slices.DeleteFunc(ends, func(e queue.End) bool { return e.Outcome != queue.OutcomeLost })
		upTo = 0
	}
	a.report(ends, upTo)
}

// reportOf sends ends of a life to the leader. The caller holds mu.
func (a *Agent) reportOf(life string, ends []queue.End, upTo uint64) {
	if len(ends) == 0 {
		return
	}
	for _, e := range ends {
		a.met.ends.WithLabelValues(string(e.Outcome)).Inc()
	}
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Incarnation: life, List: ends}, upTo: upTo})
}

// send sends a report, and keeps it until it is noted. The caller holds mu.
func (a *Agent) send(r report) {
	a.reportID++
	a.reports[a.reportID] = r
	a.session.Send(r.message(a.reportID))
}
