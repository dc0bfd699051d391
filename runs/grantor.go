package runs

import "time"

const (
	// drift is by how much two steady clocks may disagree over a lease.
	drift = 0.01
	// expireSlack is waited after a lease has run out, for rounding and for the
	// time that an executor takes to kill what it runs.
	expireSlack = 100 * time.Millisecond
)

// Grantor is the leader's side of one VM's lease. The zero value is a VM that
// was never granted anything.
//
// All times are the leader's own. A lease runs from the quorum's last contact
// with this leader: no other was elected before that, and a new leader assumes
// for each VM a whole lease from its own election on.
type Grantor struct {
	until    time.Time
	expiring bool
}

// Assume notes that the VM may hold a lease until the given time.
func (g *Grantor) Assume(until time.Time) {
	if until.After(g.until) {
		g.until = until
	}
}

// Grant gives the VM a lease of the given length from contact on, and returns
// what is left of it now, or 0 if none is given.
func (g *Grantor) Grant(contact, now time.Time, length time.Duration) time.Duration {
	until := contact.Add(length)
	left := until.Sub(now)
	if g.expiring || left <= 0 {
		return 0
	}
	g.Assume(until)
	return left
}

// Leased reports whether the VM may hold a lease and is not being given up.
func (g *Grantor) Leased(now time.Time) bool { return !g.expiring && now.Before(g.until) }

// Expire reports whether the last lease has surely run out. From then on no
// lease is granted until Renew: one granted while the loss is being committed
// would outlive the runs it was granted for.
func (g *Grantor) Expire(now time.Time, length time.Duration) bool {
	slack := expireSlack + time.Duration(drift*float64(length))
	if now.Before(g.until.Add(slack)) {
		return false
	}
	g.expiring = true
	return true
}

// Expiring reports whether the VM is being given up.
func (g *Grantor) Expiring() bool { return g.expiring }

// Renew lets leases be granted again, once the loss and a new registration are
// committed.
func (g *Grantor) Renew() { g.expiring = false }
