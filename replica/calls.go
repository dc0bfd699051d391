package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// Step hands a message from another replica to the node. It blocks while the
// replica is busy.
func (r *Replica) Step(ctx context.Context, m quorum.Message) {
	select {
	case r.msgs <- m:
	case <-ctx.Done():
	}
}

// Do commits a command and returns its result. After ErrUnknown the command may
// still be committed.
func (r *Replica) Do(ctx context.Context, c state.Command) (res state.Result, err error) {
	c.At = rudderfork.Millis(r.now())
	data, err := cbor.Marshal(c)
	if err != nil {
		return res, fmt.Errorf("encode command: %w", err)
	}
	p := proposal{data: data, reply: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return res, ErrNotLeader // it was never proposed
	}
	select {
	case o := <-p.reply:
		return o.result, o.err
	case <-ctx.Done():
		return res, ErrOutcomeUnknown
	}
}

// Barrier returns nil once this replica is known to lead and to have applied
// all that was committed before the call.
func (r *Replica) Barrier(ctx context.Context) error {
	rd := read{done: make(chan error, 1)}
	select {
	case r.reads <- rd:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-rd.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View calls f with the state, which f must not keep or change.
func (r *Replica) View(f func(s *state.State)) { r.machine.View(f) }

// Status returns the replica's view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Leads reports whether this replica is a settled leader.
func (r *Replica) Leads() bool { return r.Status().Leads() }

// Leads reports whether the replica was a settled leader.
func (s Status) Leads() bool { return s.Ready && s.Role == quorum.Leader.String() }

// Changed returns a channel that closes at the next change of state, role or leader.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change
}

// maxSuspects bounds the ends of connections that wait to be looked at; more than
// there are peers mean nothing new.
const maxSuspects = 16

// HandleDisconnect tells that another replica's connection has ended.
func (r *Replica) HandleDisconnect(id quorum.MemberID) {
	select {
	case r.suspects <- id:
	default:
	}
}

// RecordDomain notes where the machine of a replica stands that has connected. One that
// is missed is told at its next connection.
func (r *Replica) RecordDomain(m quorum.Member) {
	select {
	case r.callers <- m:
	default:
	}
}

// TransferLeadership hands the leader's part to another replica, if this one has it, and
// waits until it has gone over or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.Changed()
		if r.Status().Role != quorum.Leader.String() {
			return
		}
		select {
		case r.resigns <- struct{}{}:
		default: // it is asked for already
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(resignPause):
		}
	}
}

// resignPause is between two tries to hand the leader's part on: a few round
// trips and syncs.
const resignPause = 100 * time.Millisecond

// Join asks that a replica be added. Nothing answers: the one that wants to
// join asks again until it is a member.
func (r *Replica) Join(m quorum.Member) {
	select {
	case r.joins <- m:
	default:
	}
}
