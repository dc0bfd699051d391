package replica

import (
	"slices"
	"time"

	"rudderfork.example/rudderfork/quorum"
)

// read is a reader that waits for a point that a quorum has confirmed, and until what is
// committed there is applied.
type read struct {
	at     time.Time
	commit uint64     // index that is to be applied, once it is confirmed
	done   chan error // buffered
}

func (r *Replica) startRead(rd read) {
	if r.node.Role() != quorum.Leader {
		rd.done <- ErrNotLeader
		return
	}
	rd.at = r.now()
	r.pending = append(r.pending, rd)
	if len(r.pending) == 1 {
		r.node.ConfirmLeadership(rd.at)
	}
}

// finishReads answers reads that a quorum has confirmed since they came, once all that
// was committed by then is applied.
func (r *Replica) finishReads() {
	r.confirmReads()
	applied := r.machine.applied.Load()
	r.ready = slices.DeleteFunc(r.ready, func(rd read) bool {
		if applied < rd.commit {
			return false
		}
		rd.done <- nil
		return true
	})
}

func (r *Replica) confirmReads() {
	if len(r.pending) == 0 {
		return
	}
	if r.node.Role() != quorum.Leader {
		for _, rd := range r.pending {
			rd.done <- ErrNotLeader
		}
		r.pending = nil
		return
	}
	if !r.node.CommittedInTerm() {
		return
	}
	contact := r.node.QuorumContact(r.now())
	var left []read
	for _, rd := range r.pending {
		if contact.Before(rd.at) {
			left = append(left, rd)
			continue
		}
		rd.commit = r.node.CommitIndex()
		r.ready = append(r.ready, rd)
	}
	if len(left) > 0 && len(left) < len(r.pending) {
		r.node.ConfirmLeadership(r.now()) // those that came after the last round
	}
	r.pending = left
}
