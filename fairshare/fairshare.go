// Package fairshare decides which groups of callers are ahead of their share of a queue's
// capacity, and which are starved of it.
//
// A group is the jobs of one queue and one origin. Groups of a queue share by attained
// service: the processors that their tasks use, times the time. The core takes no part in
// the order of jobs of a group, and does nothing while at most one group of a queue waits
// for capacity and the others use little.
//
// Each account has a level: its service per unit of weight while the queue was contested,
// as the virtual time of start-time fair queueing (Goyal, Vin and Cheng 1996). The mean
// level of the competing groups is what each would have with exactly their
// shares. The distance to it, times the weight, is how far a group is ahead or behind.
//
// The core has no I/O and no clock. Times are of the leader's steady clock, in ms.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"rudderfork.example/rudderfork"
)

const (
	// maxGroups bounds the number of accounts, apart from one of merged groups for each queue.
	maxGroups = 1_000
	// Merged is the origin of the group that holds the groups of a queue without an account of
	// their own. It is not a valid name, so no caller has it.
	Merged = "*"
	// maxElapsedMS bounds the time between two observations that is charged. A leader that was
	// stalled for longer does not know what ran meanwhile.
	maxElapsedMS = 5_000
)

// Group identifies a group of callers.
type Group struct {
	Queue  string `cbor:"1,keyasint" json:"queue"`
	Origin string `cbor:"2,keyasint,omitempty" json:"origin"` // failure domain of the callers' entry; "" if unknown
}

// GroupOf returns the group of jobs of a queue and an origin. An origin that is not a valid
// name counts as unknown.
func GroupOf(queueName, origin string) Group {
	if rudderfork.CheckName(origin) != nil {
		origin = ""
	}
	return Group{queueName, origin}
}

func (g Group) compare(o Group) int {
	return cmp.Or(cmp.Compare(g.Queue, o.Queue), cmp.Compare(g.Origin, o.Origin))
}

// Demand is what a plan has found of a group.
type Demand struct {
	Group
	Waiting     int     // ready tasks that the plan does not start, of jobs that are still worth something
	Cores       float64 // processors that its runs take
	ObjectiveMS float64 // mean objective of its waiting jobs, or of its live ones if none waits
}

// Standing says how a group stands to its share.
type Standing string

// The standings.
const (
	Even    Standing = "even"
	Ahead   Standing = "ahead"   // by more than its bound
	Starved Standing = "starved" // behind by more than its bound for as long as an objective
)

// Standings are the standings of groups.
type Standings map[Group]Standing

// Of returns the standing of a group. A group without an account has that of the merged
// groups of its queue.
func (s Standings) Of(g Group) Standing {
	if st, ok := s[g]; ok {
		return st
	}
	return cmp.Or(s[Group{g.Queue, Merged}], Even)
}

// Ledger holds the accounts of all groups. It is not safe for concurrent use. A nil ledger
// has no groups and ignores what it is given.
type Ledger struct {
	weights   map[rudderfork.Domain]int
	accounts  map[Group]*account
	contests  map[string]*contest // by queue
	standings Standings
	at        int64 // time of the newest observation; 0 before the first
}

// New returns a ledger without accounts. The weight of origins without a positive one is 1.
func New(weights map[rudderfork.Domain]int) *Ledger {
	return &Ledger{weights: weights, accounts: map[Group]*account{}, contests: map[string]*contest{}, standings: Standings{}}
}

// Standings returns the standings as of the newest observation. The map is valid until the
// next one.
func (l *Ledger) Standings() Standings {
	if l == nil {
		return nil
	}
	return l.standings
}

// Observe charges the groups for the time since the previous observation and records their
// new demands.
func (l *Ledger) Observe(now int64, demands []Demand) {
	if l == nil {
		return
	}
	elapsed := 0.0
	if l.at != 0 {
		elapsed = float64(min(max(0, now-l.at), maxElapsedMS))
	}
	l.at = max(l.at, now)
	for _, c := range l.contests {
		c.charge(elapsed)
	}
	l.record(demands)
	clear(l.standings)
	for name, c := range l.contests {
		c.settle(l.at, elapsed)
		for _, a := range c.accounts {
			l.standings[a.group] = a.standing
		}
		if len(c.accounts) == 0 {
			delete(l.contests, name)
		}
	}
}

// record adds the demands to their accounts. Groups that have an account come first, so that
// none of them loses it to a new group while it is active.
func (l *Ledger) record(demands []Demand) {
	var others []Demand
	for _, d := range demands {
		if a := l.accounts[d.Group]; a != nil {
			a.add(d, l.at)
		} else {
			others = append(others, d)
		}
	}
	if len(others) == 0 {
		return
	}
	left := l.makeRoom(len(others))
	for _, d := range others {
		if left > 0 {
			left--
		} else {
			d.Origin = Merged
		}
		l.account(d.Group).add(d, l.at)
	}
}

// account returns the account of a group. It adds one if there is none.
func (l *Ledger) account(g Group) *account {
	if a := l.accounts[g]; a != nil {
		return a
	}
	a := &account{group: g, weight: float64(max(1, l.weights[rudderfork.Domain(g.Origin)])), objective: 1, standing: Even}
	l.accounts[g] = a
	if l.contests[g.Queue] == nil {
		l.contests[g.Queue] = &contest{}
	}
	l.contests[g.Queue].accounts = append(l.contests[g.Queue].accounts, a)
	return a
}

// makeRoom merges the least recently active accounts until n more fit or all are active. It
// returns how many more fit.
func (l *Ledger) makeRoom(n int) int {
	left := maxGroups
	var idle []*account
	for _, a := range l.accounts {
		if a.group.Origin == Merged {
			continue
		}
		left--
		if a.activeAt < l.at {
			idle = append(idle, a)
		}
	}
	if n <= left {
		return left
	}
	slices.SortFunc(idle, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.activeAt, b.activeAt), a.group.compare(b.group))
	})
	idle = idle[:min(len(idle), n-left)]
	l.merge(idle)
	return left + len(idle)
}

// merge merges accounts into those of their queues' merged groups.
func (l *Ledger) merge(list []*account) {
	for _, a := range list {
		delete(l.accounts, a.group)
	}
	for _, c := range l.contests {
		c.accounts = slices.DeleteFunc(c.accounts, func(a *account) bool { return l.accounts[a.group] != a })
	}
	for _, a := range list {
		l.account(Group{a.group.Queue, Merged}).attained += a.attained
	}
}

// Status is a group as operators see it. Service is in core-seconds.
type Status struct {
	Group
	Weight   float64  `json:"weight"`
	Attained float64  `json:"attained_core_seconds"`
	Share    float64  `json:"share"` // of what the competing groups get; 0 while nothing waits
	Lag      float64  `json:"lag_core_seconds"`
	Bound    float64  `json:"bound_core_seconds"`
	Cores    float64  `json:"cores"`
	Waiting  int      `json:"waiting"`
	Standing Standing `json:"standing"`
}

// Groups returns all groups sorted by queue and origin.
func (l *Ledger) Groups() []Status {
	list := []Status{}
	if l == nil {
		return list
	}
	for _, a := range l.sorted() {
		list = append(list, Status{
			Group: a.group, Weight: a.weight, Attained: a.attained / msPerSecond, Share: a.share, Lag: -a.lead / msPerSecond,
			Bound: a.bound / msPerSecond, Cores: a.cores, Waiting: a.waiting, Standing: a.standing,
		})
	}
	return list
}

const msPerSecond = 1_000

func (l *Ledger) sorted() []*account {
	return slices.SortedFunc(maps.Values(l.accounts), func(a, b *account) int { return a.group.compare(b.group) })
}

// positive returns x if it is positive and finite, else 0.
func positive(x float64) float64 {
	if x > 0 && !math.IsInf(x, 1) {
		return x
	}
	return 0
}
