package runs

import "time"

const (
	// maxClockDrift is the fraction of a lease by which two monotonic clocks may disagree.
	maxClockDrift = 0.01
	// expirySlack is how long after its end a lease is marked as expired, to allow for
	// rounding and for the time that an executor takes to kill its runs.
	expirySlack = 100 * time.Millisecond
)

// Lessor is the leader's side of one VM's lease. The zero value is a VM that was
// never granted a lease.
//
// All times are by the leader's clock. A lease starts at the quorum's last contact
// with this leader: no other leader was elected before that, and a new leader assumes
// for each VM a lease of full length that starts at its own election.
type Lessor struct {
	until   time.Time
	expired bool
}

// AssumeLease records that the VM may hold a lease until the given time.
func (l *Lessor) AssumeLease(until time.Time) {
	if until.After(l.until) {
		l.until = until
	}
}

// Grant gives the VM a lease of the given length that starts at contact, and returns
// the part of it that is left now, or 0 if no lease is granted.
func (l *Lessor) Grant(contact, now time.Time, length time.Duration) time.Duration {
	until := contact.Add(length)
	left := until.Sub(now)
	if l.expired || left <= 0 {
		return 0
	}
	l.AssumeLease(until)
	return left
}

// Leased reports whether the VM may hold a lease and was not marked as expired.
func (l *Lessor) Leased(now time.Time) bool { return !l.expired && now.Before(l.until) }

// TryExpire marks the VM's lease as expired if the last one has certainly run out, and
// reports whether it has. From then on no lease is granted until AllowGrants is called:
// with a lease that is granted while the loss of the VM is being committed, runs could go
// on that count as ended after the commit.
func (l *Lessor) TryExpire(now time.Time, length time.Duration) bool {
	slack := expirySlack + time.Duration(maxClockDrift*float64(length))
	if now.Before(l.until.Add(slack)) {
		return false
	}
	l.expired = true
	return true
}

// Expired reports whether TryExpire has marked the lease as expired.
func (l *Lessor) Expired() bool { return l.expired }

// AllowGrants lets leases be granted again. It is called once the loss and a new
// registration of the VM are committed.
func (l *Lessor) AllowGrants() { l.expired = false }
