package fairshare

// account is what a ledger knows of a group. Service is in cores times ms.
type account struct {
	group    Group
	weight   float64
	attained float64 // service since the account was opened
	level    float64 // service per unit of weight while the queue was contested, see contest

	// The newest demand.
	waiting   int
	cores     float64
	objective float64 // ms, at least 1
	competing bool    // it waits and can be served

	activeAt  int64 // when it last had tasks that ran or waited
	servedAt  int64 // when it last had tasks that ran
	forgetAt  int64 // end of the time for which level is kept
	starvedAt int64 // when it becomes starved unless it catches up; 0 if it is not behind

	// What the newest settlement found.
	share    float64
	bound    float64 // by how much it may be ahead or behind
	lead     float64 // by how much it is ahead; negative if it is behind
	standing Standing
}

// add adds a demand, of which groups that are merged have several.
func (a *account) add(d Demand, now int64) {
	a.waiting += max(0, d.Waiting)
	a.cores += positive(d.Cores)
	a.objective = max(1, positive(d.ObjectiveMS))
	if a.active() {
		a.activeAt = now
	}
	if a.cores > 0 {
		a.servedAt = now
	}
}

func (a *account) active() bool { return a.waiting > 0 || a.cores > 0 }

// unservable reports whether the group got nothing for an objective although its jobs went
// first: it needs something else than its turn, such as a label that no VM carries.
func (a *account) unservable(now int64) bool {
	return a.waiting > 0 && a.starvedAt != 0 && now >= max(a.starvedAt, a.servedAt)+int64(a.objective)
}

// judge sets the account's standing, given the mean level of the competing groups.
func (a *account) judge(now int64, share, rate, mean float64) {
	a.share, a.bound = share, share*rate*a.objective
	limit := claimObjectives * a.bound
	a.lead = min(max(a.weight*(a.level-mean), -limit), limit)
	a.level = mean + a.lead/a.weight
	switch {
	case a.lead >= -a.bound:
		a.starvedAt = 0
	case a.waiting > 0 && a.starvedAt == 0:
		a.starvedAt = now + int64(a.objective)
	}
	a.standing = Even
	switch {
	case a.lead > a.bound:
		a.standing = Ahead
	case a.starvedAt != 0 && now >= a.starvedAt:
		a.standing = Starved
	}
}

// rest sets the standing of a group that is not compared with others: it is idle, or no group of
// its queue competes.
func (a *account) rest() {
	a.share, a.bound, a.lead, a.standing = 0, 0, 0, Even
}
