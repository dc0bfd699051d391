package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestGrantNamesLastFillers checks that the agent's grants name the fillers that are the last of
// their step to remain, and only while they remain.
func TestGrantNamesLastFillers(t *testing.T) {
	c := newTestCluster(t, nil)
	client := c.connectAgent()
	client.heartbeat(newIncarnation)
	c.putDocument(nil)
	c.submit("roster", "", queue.Step{Count: 2, Size: smallStep.Size, Filler: true, Image: "roster"})
	c.waitUntil("both tasks are ordered", func() bool {
		client.heartbeat(newIncarnation)
		return len(client.startOrders) == 2
	})
	assert.Equal(t, len(client.heartbeat(newIncarnation).LastOfStep), 0)
	client.reportDone("roster", 0)
	c.waitUntil("the last filler is named", func() bool { return len(client.heartbeat(newIncarnation).LastOfStep) == 1 })
	assert.Equal(t, client.heartbeat(newIncarnation).LastOfStep[0], rudderfork.RunRef{Task: "roster.0.0.1", Run: 1})
	client.reportDone("roster", 1)
	c.waitUntil("no filler is named", func() bool { return len(client.heartbeat(newIncarnation).LastOfStep) == 0 })
}

// reportDone reports the first run of a task as done.
func (c *agentClient) reportDone(job rudderfork.JobID, index int) {
	c.cluster.t.Helper()
	assert.NilError(c.cluster.t, c.conn.Send(c.cluster.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: uint64(index) + 1, Ends: queue.Ends{
		VM: testVM, Incarnation: newIncarnation, List: []queue.End{{Task: queue.TaskKey{Job: job, Index: index}, Run: 1, Outcome: queue.OutcomeDone}},
	}}}))
}
