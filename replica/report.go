package replica

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/quorum"
)

const (
	// noLeaderInterval is the time between two log lines of a replica without a leader, or of one
	// that asks to join. An election takes about as long, so that it usually causes at most one
	// line.
	noLeaderInterval = time.Second
	// joinLogInterval is the time between two log lines about the join requests of the same
	// replica, which come several times a second. Without a leader every replica sends them to
	// every other, and so many lines would push all others out of a log of limited size.
	joinLogInterval = 5 * time.Second
	// statusInterval is the time between two log lines with the status of the group: as often as
	// metrics are fetched, so that the last few seconds of a truncated log contain one.
	statusInterval = 5 * time.Second
	// maxJoinLogs is the maximum number of entries of reporter.nextJoinLogAt.
	maxJoinLogs = 64
)

// The reasons why a join request is refused or deferred.
const (
	joinNotLeader          = "not_leader"       // another process may be the leader
	joinAlreadyMember      = "already_member"   // it sends requests because it knows no leader
	joinNotCommittedInTerm = "leader_unsettled" // the leader has not committed in its term
	joinChangePending      = "members_changing" // an earlier change of members is not committed
	// joinOtherIncarnation means that another incarnation of the replica is a member and still
	// answers.
	joinOtherIncarnation = "other_life_answers"
)

// reporter logs the replica's view of its group: at its start, at each change of members, and
// periodically, since only the end of a log may have been kept. It belongs to the goroutine that
// owns the node.
type reporter struct {
	log        zerolog.Logger
	send       Sender
	wantVoters int // target number of voters

	members         []quorum.Member          // as last logged
	leaderlessSince time.Time                // when the last leader was lost; zero while one is known
	nextNoLeaderAt  time.Time                // next check for a missing leader or membership
	nextStatusAt    time.Time                // next log line with the status of the group
	nextJoinLogAt   map[joinLogKey]time.Time // earliest time of the next line
}

// joinLogKey is a replica that sent a join request, and the reason why it was not added.
type joinLogKey struct {
	id     quorum.MemberID
	reason string
}

// newReporter returns a reporter for a node that has just started.
func newReporter(log zerolog.Logger, send Sender, size int, n *quorum.Node, now time.Time) *reporter {
	return &reporter{
		log: log, send: send, wantVoters: size, members: n.Members(), leaderlessSince: now,
		nextNoLeaderAt: now.Add(noLeaderInterval), nextStatusAt: now.Add(statusInterval), nextJoinLogAt: map[joinLogKey]time.Time{},
	}
}

// LogOpened logs the state in which the replica starts.
func (p *reporter) LogOpened(n *quorum.Node) {
	_, member := n.Member(n.ID())
	e := p.log.Info().Str("member", string(n.ID())).Bool("votes", isVoter(n)).Bool("joins", !member).
		Bool("empty", n.LastIndex() == 0).Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Uint64("last_term", n.LastTerm()).
		Int("wanted", p.wantVoters).Dict("addrs", addrs(n.Members()))
	addGroup(e, n.Members()).Msg("replica_opened")
}

// Observe writes the log lines that are due: those about changed members, a missing leader and the
// status of the group.
func (p *reporter) Observe(n *quorum.Node, now time.Time) {
	if !slices.Equal(p.members, n.Members()) {
		p.logMembers(n)
	}
	p.trackLeader(n, now)
	if !now.Before(p.nextNoLeaderAt) {
		p.nextNoLeaderAt = now.Add(noLeaderInterval)
		p.logMissing(n, now)
	}
	if !now.Before(p.nextStatusAt) {
		p.nextStatusAt = now.Add(statusInterval)
		p.logStatus(n, now)
	}
}

// logMissing logs what the replica is missing, if anything: membership or a leader.
func (p *reporter) logMissing(n *quorum.Node, now time.Time) {
	_, member := n.Member(n.ID())
	switch {
	case !member:
		p.logJoinRequest(n, now)
	case !p.leaderlessSince.IsZero():
		p.logNoLeader(n, now)
	}
}

// NextDeadline returns when Observe is due next, if nothing changes before.
func (p *reporter) NextDeadline() time.Time { return earlier(p.nextNoLeaderAt, p.nextStatusAt) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// LeaderlessSince returns when the last known leader was lost, or the zero time while one is known.
func (p *reporter) LeaderlessSince() time.Time { return p.leaderlessSince }

func (p *reporter) trackLeader(n *quorum.Node, now time.Time) {
	switch {
	case n.Leader() != "":
		p.leaderlessSince = time.Time{}
	case p.leaderlessSince.IsZero():
		p.leaderlessSince = now
		p.nextNoLeaderAt = now.Add(noLeaderInterval)
	}
}

// LogProposed logs a change of members that this leader has proposed, and the reason.
func (p *reporter) LogProposed(n *quorum.Node, before, next []quorum.Member, reason quorum.Reason) {
	e := addDifference(p.log.Info(), before, next).Str("why", string(reason)).Uint64("term", n.Term())
	addGroup(e, next).Msg("members_changing")
}

// logMembers logs that the log of this replica has new members. A change that was not committed may
// be reverted.
func (p *reporter) logMembers(n *quorum.Node) {
	e := addDifference(p.log.Info(), p.members, n.Members()).
		Bool("votes", isVoter(n)).Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Dict("addrs", addrs(n.Members()))
	addGroup(e, n.Members()).Msg("members_changed")
	p.members = n.Members()
}

// logNoLeader logs what may explain a missing leader: the voters, their replies to the campaigns of
// this replica, and the age of the last message of each member.
func (p *reporter) logNoLeader(n *quorum.Node, now time.Time) {
	var granted, refused, unanswered []string
	answers, campaigned := n.VoteReplies()
	for _, m := range n.Members() {
		yes, answered := answers[m.ID]
		switch {
		case !m.Voter || m.ID == n.ID() || !campaigned:
		case !answered:
			unanswered = append(unanswered, string(m.ID))
		case yes:
			granted = append(granted, string(m.ID))
		default:
			refused = append(refused, string(m.ID))
		}
	}
	e := p.log.Warn().Dur("leaderless", now.Sub(p.leaderlessSince)).Str("role", n.Role().String()).Bool("votes", isVoter(n)).
		Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Uint64("last_term", n.LastTerm()).
		Uint64("campaigns", n.Campaigns()).Int("needed", majority(n.Voters())).Int("wanted", p.wantVoters).
		Strs("granted", granted).Strs("refused", refused).Strs("unanswered", unanswered).
		Dict("heard", messageAges(n, now))
	addGroup(e, n.Members()).Msg("no_leader")
}

// logJoinRequest logs that this replica is not a member and sends join requests.
func (p *reporter) logJoinRequest(n *quorum.Node, now time.Time) {
	e := p.log.Info().Str("member", string(n.ID())).Strs("asked", p.send.Addrs()).
		Uint64("term", n.Term()).Uint64("last", n.LastIndex()).Str("leader", string(n.Leader()))
	if !p.leaderlessSince.IsZero() {
		e.Dur("leaderless", now.Sub(p.leaderlessSince))
	}
	e.Msg("join_asked")
}

// LogNotAdded logs why a replica that sent a join request was not added: refused, if this is the
// wrong replica to ask or it need not be added, else deferred until its next request.
func (p *reporter) LogNotAdded(m quorum.Member, n *quorum.Node, reason string, now time.Time) {
	key := joinLogKey{m.ID, reason}
	if now.Before(p.nextJoinLogAt[key]) {
		return
	}
	if len(p.nextJoinLogAt) >= maxJoinLogs {
		clear(p.nextJoinLogAt) // their next lines may come early
	}
	p.nextJoinLogAt[key] = now.Add(joinLogInterval)
	event := "join_refused"
	if reason == joinNotCommittedInTerm || reason == joinChangePending || reason == joinOtherIncarnation {
		event = "join_deferred"
	}
	p.log.Info().Str("member", string(m.ID)).Str("addr", m.Addr).Str("reason", reason).
		Uint64("term", n.Term()).Str("leader", string(n.Leader())).Msg(event)
}

// logStatus logs this replica's view of its group.
func (p *reporter) logStatus(n *quorum.Node, now time.Time) {
	e := p.log.Info().Str("member", string(n.ID())).Str("role", n.Role().String()).Bool("settled", n.CommittedInTerm()).
		Uint64("term", n.Term()).Str("leader", string(n.Leader())).Uint64("commit", n.CommitIndex()).Uint64("last", n.LastIndex()).
		Int("wanted", p.wantVoters).Dict("heard", messageAges(n, now))
	addGroup(e, n.Members()).Msg("group_status")
}

// isVoter reports whether the replica has a vote.
func isVoter(n *quorum.Node) bool {
	m, ok := n.Member(n.ID())
	return ok && m.Voter
}

// majority returns how many votes elect a leader; 0 if no voter is known.
func majority(voters int) int {
	if voters == 0 {
		return 0
	}
	return voters/2 + 1
}

// addGroup adds the voters and the standbys to a log line.
func addGroup(e *zerolog.Event, ms []quorum.Member) *zerolog.Event {
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

// addDifference adds the members removed, added and promoted to a log line.
func addDifference(e *zerolog.Event, before, next []quorum.Member) *zerolog.Event {
	var removed, added, promoted []string
	old := map[quorum.MemberID]quorum.Member{}
	for _, m := range before {
		old[m.ID] = m
	}
	for _, m := range next {
		o, stays := old[m.ID]
		delete(old, m.ID)
		switch {
		case !stays:
			added = append(added, string(m.ID))
		case m.Voter && !o.Voter:
			promoted = append(promoted, string(m.ID))
		}
	}
	for _, m := range before {
		if _, gone := old[m.ID]; gone {
			removed = append(removed, string(m.ID))
		}
	}
	return e.Strs("goes", removed).Strs("comes", added).Strs("promoted", promoted)
}

// addrs maps the members to their addresses.
func addrs(ms []quorum.Member) *zerolog.Event {
	d := zerolog.Dict()
	for _, m := range ms {
		d.Str(string(m.ID), m.Addr)
	}
	return d
}

// neverReceived is the logged age if no message ever came.
const neverReceived = -1

// messageAges maps the other members to the age of their last message, in milliseconds.
func messageAges(n *quorum.Node, now time.Time) *zerolog.Event {
	d := zerolog.Dict()
	for _, m := range n.Members() {
		if m.ID == n.ID() {
			continue
		}
		age := int64(neverReceived)
		if at := n.LastMessageAt(m.ID); !at.IsZero() {
			age = now.Sub(at).Milliseconds()
		}
		d.Int64(string(m.ID), age)
	}
	return d
}
