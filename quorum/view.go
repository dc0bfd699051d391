package quorum

import (
	"maps"
	"time"
)

// peerView records contacts and vote replies for status reports to operators. The
// algorithm does not use it.
type peerView struct {
	lastMessageAt map[MemberID]time.Time // when the last message of each replica arrived
	campaigns     uint64
	// replies holds the vote replies to the current campaign, previousReplies those to
	// the one before it: true if granted. Both are cleared when a leader is known.
	replies, previousReplies map[MemberID]bool
}

// maxTrackedSenders bounds the tracked replicas. Those that are not members, past
// incarnations and replicas that request to join, are dropped at the limit.
const maxTrackedSenders = 64

func newPeerView() peerView { return peerView{lastMessageAt: map[MemberID]time.Time{}} }

// LastMessageAt returns when the last message of another replica arrived, or the
// zero time if there was none since this process started. Followers exchange
// messages only in campaigns.
func (n *Node) LastMessageAt(id MemberID) time.Time { return n.view.lastMessageAt[id] }

// Campaigns returns the number of campaigns that this replica has started since its
// process started. A campaign and its pre-vote count once.
func (n *Node) Campaigns() uint64 { return n.view.campaigns }

// VoteReplies returns, while no leader is known, which replicas granted (true) or
// refused their vote in this replica's current campaign, or in the previous one if
// they have not replied to the current one. Voters that are missing replied to
// neither. campaigned is false if this replica has not campaigned since it last knew a
// leader.
func (n *Node) VoteReplies() (all map[MemberID]bool, campaigned bool) {
	all = map[MemberID]bool{}
	maps.Copy(all, n.view.previousReplies)
	maps.Copy(all, n.view.replies)
	return all, n.view.replies != nil
}

// recordMessage records the sender and time of a message to this replica, and the
// reply if it is one to a vote request.
func (n *Node) recordMessage(m Message, now time.Time) {
	if _, known := n.view.lastMessageAt[m.From]; !known && len(n.view.lastMessageAt) >= maxTrackedSenders {
		maps.DeleteFunc(n.view.lastMessageAt, func(id MemberID, _ time.Time) bool {
			_, member := n.Member(id)
			return !member
		})
	}
	n.view.lastMessageAt[m.From] = now
	if m.Type == MsgPreVoteReply || m.Type == MsgVoteReply {
		n.view.recordReply(m.From, !m.Reject)
	}
}

// beginCampaign records the start of a campaign. The replies to the previous one are
// kept until the next.
func (v *peerView) beginCampaign() {
	v.campaigns++
	v.previousReplies, v.replies = v.replies, map[MemberID]bool{}
}

// recordReply records a reply to the current campaign. Without a campaign, or once a
// leader is known, a reply is ignored.
func (v *peerView) recordReply(from MemberID, granted bool) {
	if v.replies != nil {
		v.replies[from] = granted
	}
}

// clearReplies removes the replies of past campaigns, since a leader is known.
func (v *peerView) clearReplies() { v.replies, v.previousReplies = nil, nil }
