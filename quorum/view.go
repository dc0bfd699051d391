package quorum

import (
	"maps"
	"time"
)

// view is what a replica remembers of the others so that an operator can be told.
// Nothing is decided by it.
type view struct {
	heard     map[MemberID]time.Time // the newest message of each
	campaigns uint64
	// answers are those to the running campaign, earlier to the one before it. Both
	// end when a leader is known.
	answers, earlier map[MemberID]bool
}

// maxHeard bounds the replicas beyond the members that are remembered: past lives
// and those that ask to join.
const maxHeard = 64

func newView() view { return view{heard: map[MemberID]time.Time{}} }

// LastMessageAt returns when another replica was last heard, or the zero time if it was
// not since this process began. Followers hear each other only in campaigns.
func (n *Node) LastMessageAt(id MemberID) time.Time { return n.view.heard[id] }

// Campaigns returns how many campaigns this replica has begun since its process
// did. One that first asks whether others would vote counts once.
func (n *Node) Campaigns() uint64 { return n.view.campaigns }

// VoteReplies returns, while no leader is known, who granted (true) and who refused this
// replica's running campaign, or the one before where the answer to this is still
// out. Voters that are missing did not answer either. asked is false if it has not
// campaigned since a leader was known.
func (n *Node) VoteReplies() (all map[MemberID]bool, asked bool) {
	all = map[MemberID]bool{}
	maps.Copy(all, n.view.earlier)
	maps.Copy(all, n.view.answers)
	return all, n.view.answers != nil
}

// hear notes a message that was meant for this replica.
func (n *Node) hear(m Message, now time.Time) {
	if _, known := n.view.heard[m.From]; !known && len(n.view.heard) >= maxHeard {
		maps.DeleteFunc(n.view.heard, func(id MemberID, _ time.Time) bool {
			_, member := n.Member(id)
			return !member
		})
	}
	n.view.heard[m.From] = now
	if m.Type == MsgPreVoteReply || m.Type == MsgVoteReply {
		n.view.answer(m.From, !m.Reject)
	}
}

// begin notes a campaign. The answers of the one before are kept until the next.
func (v *view) begin() {
	v.campaigns++
	v.earlier, v.answers = v.answers, map[MemberID]bool{}
}

// answer notes an answer to the running campaign. One that comes when a leader is
// known, or none was begun, is too late to mean anything.
func (v *view) answer(from MemberID, granted bool) {
	if v.answers != nil {
		v.answers[from] = granted
	}
}

// end forgets the campaigns: a leader is known.
func (v *view) end() { v.answers, v.earlier = nil, nil }
