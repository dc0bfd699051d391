package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/wire"
)

// TestRoundOfEarlierTermBlocksLaterTerm guards against a leader that opens no sessions because its
// round of an earlier term still waits for commits.
func TestRoundOfEarlierTermBlocksLaterTerm(t *testing.T) {
	const lost = 4 // more log entries than those that replace them, so that some commits never complete
	c := newGatedCluster(t, Settings{Lease: testLease})
	for i := range lost {
		c.commit(queue.Command{Register: &queue.VM{ID: rudderfork.VMID(fmt.Sprint("gone", i)), Incarnation: "life"}})
	}
	before := c.rep.Status()
	release := c.blockCommits()
	c.serve(c.sched)
	c.waitUntil("the losses are proposed", func() bool { return c.rep.Status().LastIndex == before.LastIndex+lost })
	c.rep.Step(c.ctx, quorum.Message{
		Type: quorum.MsgAppend, From: "d#1", To: before.ID, Term: before.Term + 1, LogIndex: before.LastIndex, LogTerm: before.Term,
		Commit: before.LastIndex + 1, Entries: []quorum.Entry{{Index: before.LastIndex + 1, Term: before.Term + 1, Kind: quorum.EntryNoop}},
	})
	release()
	c.waitUntil("it leads again", func() bool { return c.rep.Leads() && c.rep.Status().Term > before.Term+1 })
	conn := c.openSession("vm1")
	m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
	assert.NilError(t, err)
	assert.Assert(t, m.Welcome != nil, "the process leads in term %d but redirects sessions: %+v", c.rep.Status().Term, m.Redirect)
	assert.Equal(t, m.Welcome.Term, c.rep.Status().Term)
}

// openSession opens a connection and sends the hello.
func (c *gatedCluster) openSession(process string) *wire.Conn[wire.FromNode, wire.ToQueueNode] {
	c.t.Helper()
	conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](c.ctx, "ws://"+c.addr+"/queues", wire.QueueSession)
	assert.NilError(c.t, err)
	c.t.Cleanup(conn.Close)
	assert.NilError(c.t, conn.Send(c.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: process}}))
	return conn
}
