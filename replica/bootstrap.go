package replica

import "time"

// bootstrapTimeout is how long the first leader of a group waits for the target number of voters
// before it accepts commands with fewer. Replicas that start together all have a vote within 3.3 s;
// a group that never gets enough voters must not wait for ever.
const bootstrapTimeout = 5 * time.Second

// bootstrapGate delays the first command of a new group until the target number of replicas have a
// vote. A command acknowledged by a group of three voters can be lost with two disks, although a
// group of five is to tolerate that loss; without the gate, about one group in five does not recover
// from the loss of two disks in its first seconds. After its first command a group does accept
// commands with too few voters: they are as safe as the earlier ones.
//
// The zero value is ready to use.
type bootstrapGate struct {
	open     bool
	deadline time.Time // when commands are accepted with fewer voters; zero until a leader waits
}

// Check reports in open whether the group accepts commands, and in short whether it starts to do so
// with this call and with fewer voters than the target size. used says that the group has committed
// a command before, leads that this replica is a leader that has committed in its term.
func (g *bootstrapGate) Check(used, leads bool, voters, size int, now time.Time) (open, short bool) {
	switch {
	case g.open:
		return true, false
	case used || voters >= size:
		g.open = true
		return true, false
	case !leads:
		g.deadline = time.Time{}
	case g.deadline.IsZero():
		g.deadline = now.Add(bootstrapTimeout)
	case !now.Before(g.deadline):
		g.open = true
		return true, true
	}
	return false, false
}
