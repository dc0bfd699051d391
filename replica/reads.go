package replica

import (
	"slices"
	"time"

	"rudderfork.example/rudderfork/quorum"
)

// read is a linearizable read: it waits until a quorum has confirmed the leader, and then until the
// commit index of that time is applied.
type read struct {
	at     time.Time  // when it started
	commit uint64     // index to wait for, set when the read is confirmed
	done   chan error // buffered
}

func (r *Replica) startRead(rd read) {
	if r.node.Role() != quorum.Leader {
		rd.done <- ErrNotLeader
		return
	}
	rd.at = r.now()
	r.unconfirmedReads = append(r.unconfirmedReads, rd)
	if len(r.unconfirmedReads) == 1 {
		r.node.ConfirmLeadership(rd.at)
	}
}

// finishReads completes the reads that a quorum has confirmed since they started, once everything
// committed by then is applied.
func (r *Replica) finishReads() {
	r.confirmReads()
	applied := r.machine.applied.Load()
	r.confirmedReads = slices.DeleteFunc(r.confirmedReads, func(rd read) bool {
		if applied < rd.commit {
			return false
		}
		rd.done <- nil
		return true
	})
}

// confirmReads moves the reads that a quorum has confirmed to confirmedReads, and fails all others if
// this replica no longer leads.
func (r *Replica) confirmReads() {
	if len(r.unconfirmedReads) == 0 {
		return
	}
	if r.node.Role() != quorum.Leader {
		for _, rd := range r.unconfirmedReads {
			rd.done <- ErrNotLeader
		}
		r.unconfirmedReads = nil
		return
	}
	if !r.node.CommittedInTerm() {
		return
	}
	contact := r.node.QuorumContact(r.now())
	var unconfirmed []read
	for _, rd := range r.unconfirmedReads {
		if contact.Before(rd.at) {
			unconfirmed = append(unconfirmed, rd)
			continue
		}
		rd.commit = r.node.CommitIndex()
		r.confirmedReads = append(r.confirmedReads, rd)
	}
	if len(unconfirmed) > 0 && len(unconfirmed) < len(r.unconfirmedReads) {
		r.node.ConfirmLeadership(r.now()) // for reads that started after the last round
	}
	r.unconfirmedReads = unconfirmed
}
