// Package replica runs one replica of the durable state. It drives the consensus core (package
// quorum) with messages, commands and time, keeps its log on disk, applies committed entries to the
// state, and maintains the links to the other replicas.
package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// The errors of commands and reads.
var (
	// ErrNotLeader means that the command was not proposed; retry at the leader.
	ErrNotLeader = errors.New("this control process does not lead")
	// ErrSuperseded means that the command was certainly not committed.
	ErrSuperseded = errors.New("another leader took over; the command was not committed")
	// ErrOutcomeUnknown means that the command may or may not be committed.
	ErrOutcomeUnknown = errors.New("the command's fate is unknown")
)

// maxBatch bounds the inputs handled between two syncs of the log, so that many commands share one
// sync.
const maxBatch = 512

// maxLogBytes is the size of the log on disk, in bytes, above which a snapshot is taken whatever
// the number of entries. It is an eighth of the smallest supported disk.
const maxLogBytes = 16 << 20

// Sender sends messages to other replicas. Messages may be lost.
type Sender interface {
	Send(m quorum.Message)
	// SetMembers passes the current members. joined is true if this replica is a member and knows a
	// leader; otherwise the sender has to send join requests.
	SetMembers(members []quorum.Member, joined bool)
	// Addrs returns the addresses that this replica keeps, or tries to keep, a link to.
	Addrs() []string
}

// Replica drives a quorum.Node: it passes messages, commands and time to it, makes its log durable
// and applies committed entries to the state.
type Replica struct {
	log           zerolog.Logger
	rec           rudderfork.Recorder
	now           func() time.Time
	send          Sender
	snapshotEvery uint64 // applied entries between snapshots
	wantVoters    int    // target number of voters

	msgs          chan quorum.Message
	proposals     chan proposal
	reads         chan read
	joins         chan quorum.Member   // replicas that request to join
	transfers     chan struct{}        // requests to transfer the leadership
	disconnects   chan quorum.MemberID // replicas whose connection has closed
	domainReports chan quorum.Member   // connected replicas with their failure domains

	machine *stateMachine
	writer  *writer

	// Owned by Serve.
	node             *quorum.Node
	inFlight         map[uint64]proposal // proposals by log index
	inFlightTerm     uint64              // term of the newest proposal in flight
	unconfirmedReads []read              // not yet confirmed by a quorum
	confirmedReads   []read              // wait until their commit index is applied
	writing          *write              // in progress, or nil
	logBytes         int64               // size of the log on disk
	snapshotIndex    uint64              // of the newest snapshot on disk or being installed
	nextSnapshotAt   time.Time           // earliest time of the next snapshot after one found the disk full; zero for none
	snapshotting     bool                // a snapshot is being encoded or written
	encoded          *quorum.Snapshot    // to be written next, or nil
	shortage         voterShortage
	bootstrap        bootstrapGate
	hasCommands      bool // a command was ever committed
	report           *reporter

	mu     sync.Mutex // guards what follows
	status Status
	change chan struct{} // closed and replaced when state or status changes
}

// Status is a replica's view of the group.
type Status struct {
	ID              quorum.MemberID `json:"id"`
	Role            string          `json:"role"`
	Term            uint64          `json:"term"`
	CommitIndex     uint64          `json:"commit"`
	LastIndex       uint64          `json:"last"`
	SnapshotIndex   uint64          `json:"snapshot"`
	LogBytes        int64           `json:"log_bytes"`
	Ready           bool            `json:"settled"` // it leads, has committed in its term and accepts commands
	Leader          quorum.Member   `json:"leader"`
	Members         []quorum.Member `json:"members"`
	QuorumContactNS int64           `json:"-"` // last contact with a quorum, Unix ns
	Campaigns       uint64          `json:"campaigns"`
	// LeaderlessSince is when the last known leader was lost; zero while one is known.
	LeaderlessSince time.Time `json:"-"`
	// LastMessageAt is when the last message of each other member arrived. It is copied at most
	// every lastMessageInterval.
	LastMessageAt map[quorum.MemberID]time.Time `json:"-"`
	nextCopy      time.Time                     // when LastMessageAt is copied again
}

// lastMessageInterval is the minimum time between two copies of Status.LastMessageAt, so that
// handling a message needs no copy. Metrics are fetched every few seconds.
const lastMessageInterval = 100 * time.Millisecond

// proposal is a command that waits for its result.
type proposal struct {
	data  []byte       // encoded command
	term  uint64       // in which it was proposed; 0 before
	reply chan outcome // buffered
}

// outcome is the result of a command, or the reason why there is none.
type outcome struct {
	result state.Result
	err    error
}

// Config configures a Replica.
type Config struct {
	ElectionTimeout time.Duration // minimum time without a leader before a campaign
	Heartbeat       time.Duration // time between appends to an idle replica
	SnapshotEvery   uint64        // applied entries between snapshots
	Seed            uint64        // of the random election timeouts; see the function Seed

	// Voters is the target number of voters, 2f+1 to tolerate the loss of f. Further replicas
	// follow as standbys. 0 means that all members vote.
	Voters int

	// Domain is the failure domain of the replica's host, or "" if not known.
	Domain rudderfork.Domain
}

// New returns a replica that resumes from store.
func New(cfg Config, store Store, send Sender, log zerolog.Logger, rec rudderfork.Recorder, now func() time.Time) (r *Replica, err error) {
	defer errs.Annotate(&err, "replica")
	hs, snap, entries := store.TakeLoaded()
	st, err := state.Decode(snap.Data)
	if err != nil {
		return nil, err
	}
	node := quorum.New(quorum.Config{
		ID: store.Identity().ID, ElectionTimeout: cfg.ElectionTimeout, HeartbeatInterval: cfg.Heartbeat, Seed: cfg.Seed,
	}, hs, snap, entries, now())
	node.SetDomain(memberName(store.Identity().ID), cfg.Domain)
	report := newReporter(log, send, cfg.Voters, node, now())
	report.LogOpened(node)
	r = &Replica{
		log: log, rec: rec, now: now, send: send, snapshotEvery: cfg.SnapshotEvery, wantVoters: cfg.Voters,
		msgs: make(chan quorum.Message, maxBatch), proposals: make(chan proposal, maxBatch),
		reads: make(chan read, maxBatch), joins: make(chan quorum.Member, 1),
		transfers: make(chan struct{}, 1), disconnects: make(chan quorum.MemberID, maxDisconnects),
		domainReports: make(chan quorum.Member, maxInbound),
		node:          node, inFlight: map[uint64]proposal{}, snapshotIndex: snap.Index, hasCommands: snap.Index > 0, report: report,
		change: make(chan struct{}), writer: newWriter(store, log), logBytes: store.LogBytes(),
	}
	r.machine = newStateMachine(st, r.notifyChange)
	r.publish()
	return r, nil
}

// Serve implements suture.Service.
func (r *Replica) Serve(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "replica")
	timer := time.NewTimer(0)
	defer timer.Stop()
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { r.machine.Run(ctx) })
	background.Go(func() { r.writer.Run(ctx) })
	for {
		var writeErr error
		timer.Reset(max(0, earlier(r.node.NextDeadline(), r.report.NextDeadline()).Sub(r.now())))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.msgs:
			r.node.Step(m, r.now())
		case p := <-r.proposals:
			r.propose(p)
		case rd := <-r.reads:
			r.startRead(rd)
		case m := <-r.joins:
			r.join(m)
		case <-r.transfers:
			r.node.TransferLeadership(r.now())
		case id := <-r.disconnects:
			r.node.HandleDisconnect(id, r.now())
		case m := <-r.domainReports:
			r.node.SetDomain(m.Name, m.Domain)
		case <-r.machine.progress:
		case w := <-r.writer.done:
			writeErr = r.handleWritten(w)
		case <-timer.C:
			r.node.Tick(r.now())
			r.repairMembers()
		}
		r.handleQueued()
		if err := errors.Join(writeErr, r.processReady()); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// The content of the disk is unknown after a failed write. A restart reads it again.
			r.log.Error().Err(err).Msg("replica_failed")
			return fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
		}
	}
}

// handleQueued handles messages, proposals and reads that are already queued, at most maxBatch.
func (r *Replica) handleQueued() {
	for range maxBatch {
		select {
		case m := <-r.msgs:
			r.node.Step(m, r.now())
		case p := <-r.proposals:
			r.propose(p)
		case rd := <-r.reads:
			r.startRead(rd)
		default:
			return
		}
	}
}

func (r *Replica) propose(p proposal) {
	if !r.acceptsCommands() {
		p.reply <- outcome{err: ErrNotLeader}
		return
	}
	index, term, ok := r.node.Propose(p.data, r.now())
	if !ok {
		p.reply <- outcome{err: ErrNotLeader}
		return
	}
	p.term, r.inFlightTerm = term, term
	r.inFlight[index] = p
}

// failReplaced answers the callers of commands whose entries are no longer in the log, because a
// later leader or a snapshot has replaced them.
func (r *Replica) failReplaced() {
	if len(r.inFlight) == 0 || r.node.Term() == r.inFlightTerm {
		return
	}
	for index, p := range r.inFlight {
		if !r.node.HasEntry(index, p.term) {
			delete(r.inFlight, index)
			p.reply <- outcome{err: ErrOutcomeUnknown}
		}
	}
}

// acceptsCommands reports whether the group accepts commands; see bootstrapGate.
func (r *Replica) acceptsCommands() bool {
	open, short := r.bootstrap.Check(r.hasCommands, r.node.CommittedInTerm(), r.node.Voters(), r.wantVoters, r.now())
	if short {
		r.log.Warn().Int("voters", r.node.Voters()).Int("needed", r.wantVoters).Msg("group_opened_short")
	}
	return open
}

// processReady does the work that the node has ready, except what has to wait for a write to the
// disk.
func (r *Replica) processReady() error {
	r.maybeSnapshot()
	for r.writing == nil {
		rd := r.node.Ready()
		if rd.Empty() {
			break
		}
		r.sendAll(rd.EarlyMessages)
		if rd.MustSync() {
			r.write(write{ready: rd})
			break
		}
		r.handleDurable(rd)
	}
	if r.writing != nil && r.writing.ready.HardState == nil {
		// A new term must not be sent before it is durable.
		r.sendAll(r.node.TakeEarlyMessages())
	}
	r.apply(r.node.Committed())
	r.failReplaced()
	r.finishReads()
	r.publish()
	return r.machine.Err()
}

// write starts a write to the disk. No other write may be in progress.
func (r *Replica) write(w write) {
	r.writing = &w
	r.writer.writes <- w
}

// handleWritten handles the result of a write.
func (r *Replica) handleWritten(w written) error {
	r.writing, r.logBytes = nil, w.size
	if w.snap != nil {
		return r.handleSnapshotWritten(*w.snap, w.err)
	}
	if w.err == nil {
		r.handleDurable(w.ready)
	}
	return w.err
}

// handleDurable continues with work that is durable now.
func (r *Replica) handleDurable(rd quorum.Ready) {
	if rd.Snapshot != nil {
		r.install(*rd.Snapshot)
	}
	r.sendAll(rd.Messages)
	r.node.Persisted(rd, r.now())
}

func (r *Replica) sendAll(ms []quorum.Message) {
	for _, m := range ms {
		r.send.Send(m)
	}
}

// install queues a snapshot of the leader for the state machine.
func (r *Replica) install(s quorum.Snapshot) {
	r.machine.Add(work{snapshot: &s})
	r.snapshotIndex = s.Index
	r.hasCommands = true
	r.log.Info().Uint64("index", s.Index).Msg("snapshot_installed")
}

// apply queues committed entries for the state machine, with the callers that wait for them.
func (r *Replica) apply(es []quorum.Entry) {
	if len(es) == 0 {
		return
	}
	w := work{entries: es}
	for _, e := range es {
		r.hasCommands = r.hasCommands || e.Kind == quorum.EntryCommand
		if p, ok := r.inFlight[e.Index]; ok {
			delete(r.inFlight, e.Index)
			w.replies = append(w.replies, pendingReply{e.Index, p})
		}
	}
	r.machine.Add(w)
}

// publish updates the status and wakes callers that wait for a change.
func (r *Replica) publish() {
	n, now := r.node, r.now()
	r.report.Observe(n, now)
	st := Status{
		ID: n.ID(), Role: n.Role().String(), Term: n.Term(), CommitIndex: n.CommitIndex(), LastIndex: n.LastIndex(),
		SnapshotIndex: n.SnapshotIndex(), LogBytes: r.logBytes, Ready: n.CommittedInTerm() && r.acceptsCommands(), Members: n.Members(),
		QuorumContactNS: n.QuorumContact(now).UnixNano(), Campaigns: n.Campaigns(), LeaderlessSince: r.report.LeaderlessSince(),
	}
	st.Leader, _ = n.Member(n.Leader())
	_, member := n.Member(n.ID())
	r.send.SetMembers(st.Members, member && n.Leader() != "")
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.status
	st.copyLastMessages(old, n, now)
	r.status = st
	if old.Role != st.Role || old.Term != st.Term {
		r.log.Info().Str("role", st.Role).Uint64("term", st.Term).Msg("role_changed")
		r.rec.Record(rudderfork.Event{Kind: "role", Subject: string(st.ID), Text: fmt.Sprintf("%s in term %d", st.Role, st.Term)})
	}
	if old.Role != st.Role || old.Term != st.Term || old.Ready != st.Ready || old.Leader.ID != st.Leader.ID {
		r.notifyChangeLocked()
	}
}

// notifyChange closes the channel that Changed returned.
func (r *Replica) notifyChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyChangeLocked()
}

// notifyChangeLocked is notifyChange for a caller that holds mu.
func (r *Replica) notifyChangeLocked() {
	close(r.change)
	r.change = make(chan struct{})
}

// copyLastMessages copies the times of the last messages from the node, or keeps the old copy if it
// is recent enough.
func (s *Status) copyLastMessages(old Status, n *quorum.Node, now time.Time) {
	if now.Before(old.nextCopy) {
		s.LastMessageAt, s.nextCopy = old.LastMessageAt, old.nextCopy
		return
	}
	s.LastMessageAt, s.nextCopy = map[quorum.MemberID]time.Time{}, now.Add(lastMessageInterval)
	for _, m := range s.Members {
		if at := n.LastMessageAt(m.ID); !at.IsZero() {
			s.LastMessageAt[m.ID] = at
		}
	}
}

// join handles the join request of a replica. If it is not added, the reason is logged, and the
// replica sends the request again.
func (r *Replica) join(m quorum.Member) {
	next, ok := r.node.Join(m, r.now())
	_, member := r.node.Member(m.ID)
	switch {
	case r.node.Role() != quorum.Leader:
		r.report.LogNotAdded(m, r.node, joinNotLeader, r.now())
	case member:
		r.report.LogNotAdded(m, r.node, joinAlreadyMember, r.now())
	case !ok:
		r.report.LogNotAdded(m, r.node, joinOtherIncarnation, r.now())
	case !r.node.CommittedInTerm():
		r.report.LogNotAdded(m, r.node, joinNotCommittedInTerm, r.now())
	case !r.changeMembers(next, quorum.ReasonJoined):
		r.report.LogNotAdded(m, r.node, joinChangePending, r.now())
	}
}

// changeMembers proposes a new set of members and reports whether that was possible.
func (r *Replica) changeMembers(next []quorum.Member, reason quorum.Reason) bool {
	before := r.node.Members()
	if _, ok := r.node.ProposeMembers(next, r.now()); !ok {
		return false
	}
	r.report.LogProposed(r.node, before, next, reason)
	r.rec.Record(rudderfork.Event{Kind: "members", Text: fmt.Sprintf("%v: %s", next, reason)})
	return true
}

// repairMembers proposes the next change of members that the group needs, such as the promotion of
// a standby, and warns if there are too few voters.
func (r *Replica) repairMembers() {
	if !r.node.CommittedInTerm() {
		return
	}
	if voters := r.node.Voters(); r.shortage.ShouldWarn(r.node.Term(), voters, r.wantVoters, r.now()) {
		r.log.Warn().Int("voters", voters).Int("needed", r.wantVoters).Msg("voters_too_few")
	}
	next, reason, ok := r.node.Repair(r.wantVoters, r.now())
	if ok {
		r.changeMembers(next, reason) // retried at the next tick while another change is pending
	}
}

// String names the service in the supervisor's log.
func (r *Replica) String() string { return "replica" }
