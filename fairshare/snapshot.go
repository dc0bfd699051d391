package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot is what a ledger has learned, in a form that can be encoded. Its times are relative
// to when it was taken, so that a leader with another clock can restore it.
type Snapshot struct {
	Groups []GroupSnapshot `cbor:"1,keyasint"` // sorted by queue and origin
}

// GroupSnapshot is the account of one group. Service is in cores times ms.
type GroupSnapshot struct {
	Group
	Attained float64 `cbor:"3,keyasint"`
	Level    float64 `cbor:"4,keyasint"`           // service per unit of weight while the queue was contested
	KeepMS   int64   `cbor:"5,keyasint,omitempty"` // for how long Level is kept
	Behind   bool    `cbor:"6,keyasint,omitempty"` // whether it is behind by more than its bound
	FirstMS  int64   `cbor:"7,keyasint,omitempty"` // if it is Behind, time until it is starved; negative if it is already
}

// maxKept bounds the groups in a snapshot, which a leader commits every few seconds.
const maxKept = 256

// ObservedAt returns the time of the newest observation, or 0.
func (l *Ledger) ObservedAt() int64 {
	if l == nil {
		return 0
	}
	return l.at
}

// Snapshot returns the state of the ledger at the newest observation, for the maxKept groups that
// were active last.
func (l *Ledger) Snapshot() (s Snapshot) {
	if l == nil {
		return s
	}
	kept := l.sorted()
	slices.SortStableFunc(kept, func(a, b *account) int { return cmp.Compare(b.activeAt, a.activeAt) })
	kept = kept[:min(len(kept), maxKept)]
	slices.SortFunc(kept, func(a, b *account) int { return a.group.compare(b.group) })
	for _, a := range kept {
		g := GroupSnapshot{Group: a.group, Attained: a.attained, Level: a.level, KeepMS: max(0, a.forgetAt-l.at), Behind: a.starvedAt != 0}
		if g.Behind {
			g.FirstMS = a.starvedAt - l.at
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// Restore adds the groups of a snapshot that was taken at a time of the present leader's clock,
// which may be estimated. Malformed groups are skipped, and those beyond the limit are merged by queue,
// up to a second limit on the number of queues. The results are the numbers of groups that were
// added and skipped.
func (l *Ledger) Restore(s Snapshot, takenAt int64) (restored, invalid int) {
	if l == nil {
		return 0, 0
	}
	for _, g := range s.Groups {
		if !g.valid() || len(l.accounts) >= 2*maxGroups {
			invalid++
			continue
		}
		restored++
		if g.Origin != Merged {
			g.Group = GroupOf(g.Queue, g.Origin)
			if l.accounts[g.Group] == nil && len(l.accounts) >= maxGroups {
				g.Origin = Merged
			}
		}
		a := l.account(g.Group)
		a.attained += g.Attained
		a.level, a.forgetAt, a.activeAt = g.Level, takenAt+min(max(0, g.KeepMS), maxKeepMS), takenAt
		if g.Behind {
			a.starvedAt = takenAt + min(max(-maxKeepMS, g.FirstMS), maxKeepMS)
		}
	}
	return restored, invalid
}

const (
	// maxKeepMS bounds the times of a snapshot, in ms. Objectives are shorter than a day.
	maxKeepMS = 86_400_000
	// maxService bounds the service of a snapshot. It is that of 60,000 cores in 5 years; service
	// added to a level far beyond it would be lost to rounding.
	maxService = 1e16
)

func (g GroupSnapshot) valid() bool {
	return g.Queue != "" && g.Attained >= 0 && g.Attained <= maxService && math.Abs(g.Level) <= maxService
}
