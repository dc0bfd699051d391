// Package replica runs one replica of the durable state: it drives the
// replication core (quorum) with messages, commands and time, keeps its log on
// disk, applies what is committed to the state, and holds the links to the
// other replicas.
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
	// ErrNotLeader means that nothing was done; ask the leader.
	ErrNotLeader = errors.New("this control process does not lead")
	// ErrSuperseded means that the command was surely not committed.
	ErrSuperseded = errors.New("another leader took over; the command was not committed")
	// ErrOutcomeUnknown means that the command may or may not be committed.
	ErrOutcomeUnknown = errors.New("the command's fate is unknown")
)

// maxDrain bounds the inputs handled between two syncs, so that many commands
// share one.
const maxDrain = 512

// maxLogBytes is the size of the log on disk after which a snapshot is taken
// whatever the number of entries: an eighth of the users' smallest disk.
const maxLogBytes = 16 << 20

// Sender sends messages to other replicas; it may lose them.
type Sender interface {
	Send(m quorum.Message)
	// SetMembers tells the present members, and whether this replica is one of
	// them and follows or is a leader; if not, it has to ask to join.
	SetMembers(members []quorum.Member, joined bool)
	// Addrs returns the addresses that this replica keeps a link to, or tries to.
	Addrs() []string
}

// Replica drives a quorum.Node: it feeds it messages, commands and time, makes
// its log durable and applies what is committed to the state.
type Replica struct {
	log   zerolog.Logger
	rec   rudderfork.Recorder
	now   func() time.Time
	send  Sender
	every uint64 // applied entries between snapshots
	size  int    // voters that the group is to have

	msgs      chan quorum.Message
	proposals chan proposal
	reads     chan read
	joins     chan quorum.Member
	resigns   chan struct{}
	suspects  chan quorum.MemberID
	callers   chan quorum.Member

	machine *machine
	writer  *writer

	// Owned by Serve.
	node     *quorum.Node
	waiting  map[uint64]proposal // by index
	proposed uint64              // term of the newest of them
	pending  []read              // that a quorum has not confirmed
	ready    []read              // that wait until what they cover is applied
	writing  *write              // that has not ended
	logBytes int64
	snapAt   uint64
	snapBy   time.Time        // no snapshot before, since the disk was full
	snapping bool             // a snapshot is being encoded or written
	encoded  *quorum.Snapshot // that is to be written
	short    shortage
	opening  opening
	used     bool // a command was committed, in this life or before
	report   *reporter

	mu     sync.Mutex // guards what follows
	status Status
	change chan struct{} // closed and replaced when state or status changes
}

// Status is a replica's view of the group.
type Status struct {
	ID        quorum.MemberID `json:"id"`
	Role      string          `json:"role"`
	Term      uint64          `json:"term"`
	Commit    uint64          `json:"commit"`
	Last      uint64          `json:"last"`
	Snapshot  uint64          `json:"snapshot"`
	LogBytes  int64           `json:"log_bytes"`
	Ready   bool            `json:"settled"`
	Leader    quorum.Member   `json:"leader"`
	Members   []quorum.Member `json:"members"`
	ContactNS int64           `json:"-"` // quorum contact, Unix ns
	Campaigns uint64          `json:"campaigns"`
	// LeaderlessSince is when the last known leader was lost; zero while one is known.
	LeaderlessSince time.Time `json:"-"`
	// LastMessageAt is when each other member was last heard, as of at most heardPause ago.
	LastMessageAt map[quorum.MemberID]time.Time `json:"-"`
	heard time.Time                     // when LastMessageAt is copied again
}

// heardPause is between two copies of the times in Status.LastMessageAt, so that a message
// costs none; metrics are fetched every few seconds.
const heardPause = 100 * time.Millisecond

type proposal struct {
	data  []byte
	term  uint64
	reply chan outcome // buffered
}

type outcome struct {
	result state.Result
	err    error
}

// Config sets up a Replica.
type Config struct {
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	SnapshotEvery   uint64
	Seed            uint64

	// Voters is how many the group is to have, 2f+1 to bear the loss of f; replicas
	// beyond that follow as standbys. 0 means that all vote.
	Voters int

	// Domain is the failure domain that the replica's machine stands in, or "".
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
	report.Opened(node)
	r = &Replica{
		log: log, rec: rec, now: now, send: send, every: cfg.SnapshotEvery, size: cfg.Voters,
		msgs: make(chan quorum.Message, maxDrain), proposals: make(chan proposal, maxDrain),
		reads: make(chan read, maxDrain), joins: make(chan quorum.Member, 1),
		resigns: make(chan struct{}, 1), suspects: make(chan quorum.MemberID, maxSuspects),
		callers: make(chan quorum.Member, maxCallers),
		node:    node, waiting: map[uint64]proposal{}, snapAt: snap.Index, used: snap.Index > 0, report: report,
		change: make(chan struct{}), writer: newWriter(store, log), logBytes: store.LogBytes(),
	}
	r.machine = newMachine(st, r.wake)
	r.publish()
	return r, nil
}

// Serve implements suture.Service.
func (r *Replica) Serve(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "replica")
	timer := time.NewTimer(0)
	defer timer.Stop()
	ctx, cancel := context.WithCancel(ctx)
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	beside.Go(func() { r.machine.Run(ctx) })
	beside.Go(func() { r.writer.Run(ctx) })
	for {
		var failed error
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
		case <-r.resigns:
			r.node.TransferLeadership(r.now())
		case id := <-r.suspects:
			r.node.HandleDisconnect(id, r.now())
		case m := <-r.callers:
			r.node.SetDomain(m.Name, m.Domain)
		case <-r.machine.progress:
		case w := <-r.writer.done:
			failed = r.noteWritten(w)
		case <-timer.C:
			r.node.Tick(r.now())
			r.repair()
		}
		r.drain()
		if err := errors.Join(failed, r.settle()); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// What the disk holds is unknown now; only a fresh start may read it.
			r.log.Error().Err(err).Msg("replica_failed")
			return fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
		}
	}
}

// drain handles more inputs that are there already.
func (r *Replica) drain() {
	for range maxDrain {
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
	if !r.opened() {
		p.reply <- outcome{err: ErrNotLeader}
		return
	}
	index, term, ok := r.node.Propose(p.data, r.now())
	if !ok {
		p.reply <- outcome{err: ErrNotLeader}
		return
	}
	p.term, r.proposed = term, term
	r.waiting[index] = p
}

// answerGone answers commands whose entries are gone from the log: a later leader has put
// others in their place, or a snapshot.
func (r *Replica) answerGone() {
	if len(r.waiting) == 0 || r.node.Term() == r.proposed {
		return
	}
	for index, p := range r.waiting {
		if !r.node.HasEntry(index, p.term) {
			delete(r.waiting, index)
			p.reply <- outcome{err: ErrOutcomeUnknown}
		}
	}
}

// opened reports whether the group takes commands.
func (r *Replica) opened() bool {
	open, short := r.opening.Opened(r.used, r.node.CommittedInTerm(), r.node.Voters(), r.size, r.now())
	if short {
		r.log.Warn().Int("voters", r.node.Voters()).Int("needed", r.size).Msg("group_opened_short")
	}
	return open
}

// settle does the work that the node asks for, as far as it does not wait for the disk.
func (r *Replica) settle() error {
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
		r.settled(rd)
	}
	if r.writing != nil && r.writing.ready.HardState == nil {
		// A term that is on its way to the disk is told to nobody.
		r.sendAll(r.node.TakeEarlyMessages())
	}
	r.apply(r.node.Committed())
	r.answerGone()
	r.finishReads()
	r.publish()
	return r.machine.Err()
}

// write hands on what is to be durable; no other write is under way.
func (r *Replica) write(w write) {
	r.writing = &w
	r.writer.writes <- w
}

// noteWritten draws the conclusions of a write that has ended.
func (r *Replica) noteWritten(w written) error {
	r.writing, r.logBytes = nil, w.size
	if w.snap != nil {
		return r.noteSnapshot(*w.snap, w.err)
	}
	if w.err == nil {
		r.settled(w.ready)
	}
	return w.err
}

// settled goes on with what is durable.
func (r *Replica) settled(rd quorum.Ready) {
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

func (r *Replica) install(s quorum.Snapshot) {
	r.machine.Add(work{snapshot: &s})
	r.snapAt = s.Index
	r.used = true
	r.log.Info().Uint64("index", s.Index).Msg("snapshot_installed")
}

// apply hands on what is committed, with who waits for it.
func (r *Replica) apply(es []quorum.Entry) {
	if len(es) == 0 {
		return
	}
	w := work{entries: es}
	for _, e := range es {
		r.used = r.used || e.Kind == quorum.EntryCommand
		if p, ok := r.waiting[e.Index]; ok {
			delete(r.waiting, e.Index)
			w.replies = append(w.replies, pendingReply{e.Index, p})
		}
	}
	r.machine.Add(w)
}

// publish makes the node's status visible and wakes who waits for a change.
func (r *Replica) publish() {
	n, now := r.node, r.now()
	r.report.Observe(n, now)
	st := Status{
		ID: n.ID(), Role: n.Role().String(), Term: n.Term(), Commit: n.CommitIndex(), Last: n.LastIndex(),
		Snapshot: n.SnapshotIndex(), LogBytes: r.logBytes, Ready: n.CommittedInTerm() && r.opened(), Members: n.Members(),
		ContactNS: n.QuorumContact(now).UnixNano(), Campaigns: n.Campaigns(), LeaderlessSince: r.report.LeaderlessSince(),
	}
	st.Leader, _ = n.Member(n.Leader())
	_, member := n.Member(n.ID())
	r.send.SetMembers(st.Members, member && n.Leader() != "")
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.status
	st.noteHeard(old, n, now)
	r.status = st
	if old.Role != st.Role || old.Term != st.Term {
		r.log.Info().Str("role", st.Role).Uint64("term", st.Term).Msg("role_changed")
		r.rec.Record(rudderfork.Event{Kind: "role", Subject: string(st.ID), Text: fmt.Sprintf("%s in term %d", st.Role, st.Term)})
	}
	if old.Role != st.Role || old.Term != st.Term || old.Ready != st.Ready || old.Leader.ID != st.Leader.ID {
		r.signalChange()
	}
}

// wake wakes who waits for a change.
func (r *Replica) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalChange()
}

// signalChange does so; the caller holds mu.
func (r *Replica) signalChange() {
	close(r.change)
	r.change = make(chan struct{})
}

// noteHeard copies when the others were heard, or keeps an earlier copy that is new
// enough.
func (s *Status) noteHeard(old Status, n *quorum.Node, now time.Time) {
	if now.Before(old.heard) {
		s.LastMessageAt, s.heard = old.LastMessageAt, old.heard
		return
	}
	s.LastMessageAt, s.heard = map[quorum.MemberID]time.Time{}, now.Add(heardPause)
	for _, m := range s.Members {
		if at := n.LastMessageAt(m.ID); !at.IsZero() {
			s.LastMessageAt[m.ID] = at
		}
	}
}

// join takes a replica in that asks for it, or tells why not; it asks again.
func (r *Replica) join(m quorum.Member) {
	next, ok := r.node.Join(m, r.now())
	_, member := r.node.Member(m.ID)
	switch {
	case r.node.Role() != quorum.Leader:
		r.report.NotJoined(m, r.node, joinNotLeader, r.now())
	case member:
		r.report.NotJoined(m, r.node, joinMember, r.now())
	case !ok:
		r.report.NotJoined(m, r.node, joinLifeAnswers, r.now())
	case !r.node.CommittedInTerm():
		r.report.NotJoined(m, r.node, joinUnsettled, r.now())
	case !r.changeMembers(next, quorum.ReasonJoined):
		r.report.NotJoined(m, r.node, joinChanging, r.now())
	}
}

// changeMembers proposes other members; it reports whether that was possible.
func (r *Replica) changeMembers(next []quorum.Member, why quorum.Reason) bool {
	before := r.node.Members()
	if _, ok := r.node.ProposeMembers(next, r.now()); !ok {
		return false
	}
	r.report.Changing(r.node, before, next, why)
	r.rec.Record(rudderfork.Event{Kind: "members", Text: fmt.Sprintf("%v: %s", next, why)})
	return true
}

// repair takes the next step of bringing a rejoined replica in.
func (r *Replica) repair() {
	if !r.node.CommittedInTerm() {
		return
	}
	if voters := r.node.Voters(); r.short.Found(r.node.Term(), voters, r.size, r.now()) {
		r.log.Warn().Int("voters", voters).Int("needed", r.size).Msg("voters_too_few")
	}
	next, why, ok := r.node.Repair(r.size, r.now())
	if ok {
		r.changeMembers(next, why) // if one is under way, the next tick tries again
	}
}

// String names the service in the supervisor's log.
func (r *Replica) String() string { return "replica" }
