package replica

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/quorum"
)

const (
	// noLeaderPause is between two lines of a process that knows no leader, or asks to
	// join. A change of the leader takes about as long, so that a usual one has no line
	// or one.
	noLeaderPause = time.Second
	// askPause is between two lines of a process about the same replica that asks it
	// to be taken in, which that does several times a second; without a leader every
	// replica asks every other, and the lines must not push out the rest.
	askPause = 5 * time.Second
	// statusPause is between two lines of a process on its group: as often as the
	// users' platform fetches metrics, so that the last few seconds of a log that was
	// cut off hold one.
	statusPause = 5 * time.Second
	// maxAskers bounds the replicas that are remembered for having asked to join.
	maxAskers = 64
)

// The reasons why a replica that asks to join is not taken in by the one asked.
const (
	joinNotLeader = "not_leader"       // another process may take it in
	joinMember    = "already_member"   // it asks because it knows no leader
	joinUnsettled = "leader_unsettled" // the leader has not committed in its term
	joinChanging  = "members_changing" // an earlier change is not committed
	// joinLifeAnswers says that the group hears another life of the same replica.
	joinLifeAnswers = "other_life_answers"
)

// reporter writes what a replica knows of its group: at its start, at each change of
// members, and repeatedly, since only the end of a log may be left. It belongs to the
// goroutine that owns the node.
type reporter struct {
	log  zerolog.Logger
	send Sender
	size int // voters that the group is to have

	members    []quorum.Member // as told last
	leaderless time.Time       // when the last leader was lost; zero while one is known
	noLeaderAt time.Time       // whether the replica lacks a leader or its group is looked at
	statusAt   time.Time
	askers     map[asker]time.Time // when the next line is due
}

// asker is a replica that asked to join, and why it was not taken in.
type asker struct {
	id  quorum.MemberID
	why string
}

// newReporter returns a reporter of a node that has just begun.
func newReporter(log zerolog.Logger, send Sender, size int, n *quorum.Node, now time.Time) *reporter {
	return &reporter{
		log: log, send: send, size: size, members: n.Members(), leaderless: now,
		noLeaderAt: now.Add(noLeaderPause), statusAt: now.Add(statusPause), askers: map[asker]time.Time{},
	}
}

// Opened tells with what the replica begins.
func (p *reporter) Opened(n *quorum.Node) {
	_, member := n.Member(n.ID())
	e := p.log.Info().Str("member", string(n.ID())).Bool("votes", votes(n)).Bool("joins", !member).
		Bool("empty", n.LastIndex() == 0).Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Uint64("last_term", n.LastTerm()).
		Int("wanted", p.size).Dict("addrs", addrs(n.Members()))
	group(e, n.Members()).Msg("replica_opened")
}

// Observe writes the lines that are due.
func (p *reporter) Observe(n *quorum.Node, now time.Time) {
	if !slices.Equal(p.members, n.Members()) {
		p.changed(n)
	}
	p.noteLeader(n, now)
	if !now.Before(p.noLeaderAt) {
		p.noLeaderAt = now.Add(noLeaderPause)
		p.lack(n, now)
	}
	if !now.Before(p.statusAt) {
		p.statusAt = now.Add(statusPause)
		p.status(n, now)
	}
}

// lack tells what the replica lacks, if anything: a group or a leader.
func (p *reporter) lack(n *quorum.Node, now time.Time) {
	_, member := n.Member(n.ID())
	switch {
	case !member:
		p.asking(n, now)
	case !p.leaderless.IsZero():
		p.noLeader(n, now)
	}
}

// NextDeadline is when Observe is next due without any event.
func (p *reporter) NextDeadline() time.Time { return earlier(p.noLeaderAt, p.statusAt) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// LeaderlessSince returns since when no leader is known, or the zero time if one is.
func (p *reporter) LeaderlessSince() time.Time { return p.leaderless }

func (p *reporter) noteLeader(n *quorum.Node, now time.Time) {
	switch {
	case n.Leader() != "":
		p.leaderless = time.Time{}
	case p.leaderless.IsZero():
		p.leaderless = now
		p.noLeaderAt = now.Add(noLeaderPause)
	}
}

// Changing tells which change of members this leader has proposed, and why.
func (p *reporter) Changing(n *quorum.Node, before, next []quorum.Member, why quorum.Reason) {
	e := difference(p.log.Info(), before, next).Str("why", string(why)).Uint64("term", n.Term())
	group(e, next).Msg("members_changing")
}

// changed tells that the log of this replica has other members now. A change that
// was not committed may go again.
func (p *reporter) changed(n *quorum.Node) {
	e := difference(p.log.Info(), p.members, n.Members()).
		Bool("votes", votes(n)).Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Dict("addrs", addrs(n.Members()))
	group(e, n.Members()).Msg("members_changed")
	p.members = n.Members()
}

// noLeader tells why this replica may lack a leader: who votes, who answered its
// campaigns, and when each was last heard.
func (p *reporter) noLeader(n *quorum.Node, now time.Time) {
	var granted, refused, unanswered []string
	answers, asked := n.VoteReplies()
	for _, m := range n.Members() {
		yes, answered := answers[m.ID]
		switch {
		case !m.Voter || m.ID == n.ID() || !asked:
		case !answered:
			unanswered = append(unanswered, string(m.ID))
		case yes:
			granted = append(granted, string(m.ID))
		default:
			refused = append(refused, string(m.ID))
		}
	}
	e := p.log.Warn().Dur("leaderless", now.Sub(p.leaderless)).Str("role", n.Role().String()).Bool("votes", votes(n)).
		Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Uint64("last_term", n.LastTerm()).
		Uint64("campaigns", n.Campaigns()).Int("needed", majority(n.Voters())).Int("wanted", p.size).
		Strs("granted", granted).Strs("refused", refused).Strs("unanswered", unanswered).
		Dict("heard", ages(n, now))
	group(e, n.Members()).Msg("no_leader")
}

// asking tells that this replica is no member and asks to be one.
func (p *reporter) asking(n *quorum.Node, now time.Time) {
	e := p.log.Info().Str("member", string(n.ID())).Strs("asked", p.send.Addrs()).
		Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Str("leader", string(n.Leader()))
	if !p.leaderless.IsZero() {
		e.Dur("leaderless", now.Sub(p.leaderless))
	}
	e.Msg("join_asked")
}

// NotJoined tells why a replica that asked was not taken in: refused, if it asks the
// wrong one, else deferred until it asks again.
func (p *reporter) NotJoined(m quorum.Member, n *quorum.Node, why string, now time.Time) {
	key := asker{m.ID, why}
	if now.Before(p.askers[key]) {
		return
	}
	if len(p.askers) >= maxAskers {
		clear(p.askers) // each may have a line sooner
	}
	p.askers[key] = now.Add(askPause)
	event := "join_refused"
	if why == joinUnsettled || why == joinChanging || why == joinLifeAnswers {
		event = "join_deferred"
	}
	p.log.Info().Str("member", string(m.ID)).Str("addr", m.Addr).Str("reason", why).
		Uint64("term", n.Term()).Str("leader", string(n.Leader())).Msg(event)
}

// status tells what this replica knows of its group.
func (p *reporter) status(n *quorum.Node, now time.Time) {
	e := p.log.Info().Str("member", string(n.ID())).Str("role", n.Role().String()).Bool("settled", n.CommittedInTerm()).
		Uint64("term", n.Term()).Str("leader", string(n.Leader())).Uint64("commit", n.CommitIndex()).Uint64("last", n.LastIndex()).
		Int("wanted", p.size).Dict("heard", ages(n, now))
	group(e, n.Members()).Msg("group_status")
}

// votes reports whether a replica has a vote.
func votes(n *quorum.Node) bool {
	m, ok := n.Member(n.ID())
	return ok && m.Voter
}

// majority is how many of so many voters elect a leader; 0 if no voter is known.
func majority(voters int) int {
	if voters == 0 {
		return 0
	}
	return voters/2 + 1
}

// group adds who votes and who stands by.
func group(e *zerolog.Event, ms []quorum.Member) *zerolog.Event {
	var voters, standbys []string
	for _, m := range ms {
		if m.Voter {
			voters = append(voters, string(m.ID))
		} else {
			standbys = append(standbys, string(m.ID))
		}
	}
	return e.Strs("voters", voters).Strs("standbys", standbys)
}

// difference adds who goes, comes and gets a vote.
func difference(e *zerolog.Event, before, next []quorum.Member) *zerolog.Event {
	var goes, comes, promoted []string
	old := map[quorum.MemberID]quorum.Member{}
	for _, m := range before {
		old[m.ID] = m
	}
	for _, m := range next {
		o, stays := old[m.ID]
		delete(old, m.ID)
		switch {
		case !stays:
			comes = append(comes, string(m.ID))
		case m.Voter && !o.Voter:
			promoted = append(promoted, string(m.ID))
		}
	}
	for _, m := range before {
		if _, gone := old[m.ID]; gone {
			goes = append(goes, string(m.ID))
		}
	}
	return e.Strs("goes", goes).Strs("comes", comes).Strs("promoted", promoted)
}

// addrs maps the members to where they are reached.
func addrs(ms []quorum.Member) *zerolog.Event {
	d := zerolog.Dict()
	for _, m := range ms {
		d.Str(string(m.ID), m.Addr)
	}
	return d
}

// neverHeard stands for the age of a word that never came.
const neverHeard = -1

// ages maps the other members to how old their newest word is, in milliseconds.
func ages(n *quorum.Node, now time.Time) *zerolog.Event {
	d := zerolog.Dict()
	for _, m := range n.Members() {
		if m.ID == n.ID() {
			continue
		}
		age := int64(neverHeard)
		if at := n.LastMessageAt(m.ID); !at.IsZero() {
			age = now.Sub(at).Milliseconds()
		}
		d.Int64(string(m.ID), age)
	}
	return d
}
