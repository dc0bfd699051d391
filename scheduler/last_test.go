package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestGrantNamesLastRuns holds that an agent is told which of its fillers the rest of
// their step waits for, and no longer than they do.
func TestGrantNamesLastRuns(t *testing.T) {
	s := newSite(t, nil)
	p := s.speak()
	p.beat(newLife)
	s.put(nil)
	s.submit("roster", "", queue.Step{Count: 2, Size: small.Size, Filler: true, Image: "roster"})
	s.until("both tasks are ordered", func() bool {
		p.beat(newLife)
		return len(p.started) == 2
	})
	assert.Equal(t, len(p.beat(newLife).Last), 0)
	p.end("roster", 0)
	s.until("the last one is told", func() bool { return len(p.beat(newLife).Last) == 1 })
	assert.Equal(t, p.beat(newLife).Last[0], rudderfork.RunRef{Task: "roster.0.0.1", Run: 1})
	p.end("roster", 1)
	s.until("there is none any more", func() bool { return len(p.beat(newLife).Last) == 0 })
}

// end reports a task's first run as done.
func (p *speaker) end(job rudderfork.JobID, index int) {
	p.s.t.Helper()
	assert.NilError(p.s.t, p.conn.Send(p.s.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: uint64(index) + 1, Ends: queue.Ends{
		VM: lateVM, Incarnation: newLife, List: []queue.End{{Task: queue.TaskKey{Job: job, Index: index}, Run: 1, How: queue.EndDone}},
	}}}))
}
