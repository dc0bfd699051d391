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

// Step passes a message of another replica to the node. It blocks while the replica is busy.
func (r *Replica) Step(ctx context.Context, m quorum.Message) {
	select {
	case r.msgs <- m:
	case <-ctx.Done():
	}
}

// Do commits a command and returns its result. After ErrOutcomeUnknown the command may
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
		return res, ErrNotLeader // not proposed
	}
	select {
	case o := <-p.reply:
		return o.result, o.err
	case <-ctx.Done():
		return res, ErrOutcomeUnknown
	}
}

// Barrier returns nil once a quorum has confirmed that this replica leads, and everything committed
// before the call is applied here.
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

// View calls f with the state. f must not keep or change it.
func (r *Replica) View(f func(s *state.State)) { r.machine.View(f) }

// Status returns the replica's view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Leads reports whether this replica is a leader that accepts commands.
func (r *Replica) Leads() bool { return r.Status().Leads() }

// Leads reports whether the replica was a leader that accepts commands.
func (s Status) Leads() bool { return s.Ready && s.Role == quorum.Leader.String() }

// Changed returns a channel that is closed at the next change of state, role, term, readiness or
// leader.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change
}

// maxDisconnects bounds the queued notices of closed connections. It is above the number of peers;
// further notices carry no new information.
const maxDisconnects = 16

// HandleDisconnect records that the connection of another replica has closed, which usually means
// that its process has ended.
func (r *Replica) HandleDisconnect(id quorum.MemberID) {
	select {
	case r.disconnects <- id:
	default:
	}
}

// RecordDomain records the failure domain of a replica that has connected. If the queue is full,
// the notice is dropped; the replica repeats it at its next connection.
func (r *Replica) RecordDomain(m quorum.Member) {
	select {
	case r.domainReports <- m:
	default:
	}
}

// TransferLeadership transfers the leadership to another replica, if this one leads, and waits
// until that has happened or ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.Changed()
		if r.Status().Role != quorum.Leader.String() {
			return
		}
		select {
		case r.transfers <- struct{}{}:
		default: // a transfer is queued already
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(transferRetryInterval):
		}
	}
}

// transferRetryInterval is the time between two attempts to transfer the leadership: a few round
// trips and syncs.
const transferRetryInterval = 100 * time.Millisecond

// Join queues the join request of a replica. There is no response: the replica repeats the request
// until it is a member.
func (r *Replica) Join(m quorum.Member) {
	select {
	case r.joins <- m:
	default:
	}
}
