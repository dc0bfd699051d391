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
	const lost = 4 // more than the entries that replace them, so that some commits never complete
	h := newGatedCluster(t, Settings{Lease: testLease})
	for i := range lost {
		h.commit(queue.Command{Register: &queue.VM{ID: rudderfork.VMID(fmt.Sprint("gone", i)), Incarnation: "life"}})
	}
	before := h.rep.Status()
	release := h.blockCommits()
	h.serve(h.sched)
	h.waitUntil("the losses are proposed", func() bool { return h.rep.Status().LastIndex == before.LastIndex+lost })
	h.rep.Step(h.ctx, quorum.Message{
		Type: quorum.MsgAppend, From: "d#1", To: before.ID, Term: before.Term + 1, LogIndex: before.LastIndex, LogTerm: before.Term,
		Commit: before.LastIndex + 1, Entries: []quorum.Entry{{Index: before.LastIndex + 1, Term: before.Term + 1, Kind: quorum.EntryNoop}},
	})
	release()
	h.waitUntil("it leads again", func() bool { return h.rep.Leads() && h.rep.Status().Term > before.Term+1 })
	c := h.openSession("vm1")
	m, err := c.ReceiveWithin(h.ctx, waitTimeout)
	assert.NilError(t, err)
	assert.Assert(t, m.Welcome != nil, "the process leads in term %d but redirects sessions: %+v", h.rep.Status().Term, m.Redirect)
	assert.Equal(t, m.Welcome.Term, h.rep.Status().Term)
}

// openSession opens a connection and sends the hello.
func (h *gatedCluster) openSession(process string) *wire.Conn[wire.FromNode, wire.ToQueueNode] {
	h.t.Helper()
	c, err := wire.Dial[wire.FromNode, wire.ToQueueNode](h.ctx, "ws://"+h.addr+"/queues", wire.QueueSession)
	assert.NilError(h.t, err)
	h.t.Cleanup(c.Close)
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: process}}))
	return c
}
