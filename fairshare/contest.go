package fairshare

import "math"

// claimObjectives bounds how far a group can be ahead or behind, as a multiple of its bound,
// which is its service within an objective. A job is worth nothing to its owner after three
// times its objective, so service that a group has missed before that is of no use to it.
const claimObjectives = 3

// contest is the competition of the groups of one queue. It is contested while a group has
// tasks that wait. Only then is service added to the levels: what a group uses while there
// is enough for all does not count against it.
type contest struct {
	accounts  []*account // in the order in which they were opened
	contested bool
	rate      float64 // cores that all groups use together, averaged over an objective
	mean      float64 // mean level of the competing groups
}

// charge adds the service since the previous observation, and clears the demands. A group that
// does not compete is charged at least the mean service of those that do, so that it gains no
// claim, and loses the claim that it has within about an objective. It would lose too much if it
// lost it at once: a group whose jobs come one by one waits for each anew. A group that cannot be
// served keeps its claim, as it would compete again without it and put the others ahead.
func (c *contest) charge(elapsed float64) {
	service, weights := 0.0, 0.0 // of the competing groups
	for _, a := range c.accounts {
		if a.competing {
			service += a.cores * elapsed
			weights += a.weight
		}
	}
	for _, a := range c.accounts {
		used := a.cores * elapsed
		a.attained += used
		switch {
		case a.competing:
			a.level += used / a.weight
		case c.contested:
			lost := 0.0
			if a.waiting == 0 {
				lost = max(0, c.mean-a.level) * (1 - math.Exp(-elapsed/a.objective))
			}
			a.level += max(used/a.weight, service/weights+lost)
		}
		a.waiting, a.cores = 0, 0
	}
}

// settle compares the groups at a time and sets their standings.
func (c *contest) settle(now int64, elapsed float64) {
	c.follow(elapsed)
	weights := 0.0 // of the competing groups
	for _, a := range c.accounts {
		if a.competing = a.waiting > 0 && !a.unservable(now); a.competing {
			weights += a.weight
		}
	}
	c.contested = weights > 0
	if !c.contested {
		for _, a := range c.accounts {
			a.rest()
		}
		return
	}
	c.align(now)
	c.mean = c.meanLevel(weights)
	for _, a := range c.accounts {
		if !a.active() {
			a.rest()
			continue
		}
		all := weights
		if !a.competing {
			all += a.weight
		}
		a.judge(now, a.weight/all, c.rate, c.mean)
	}
}

// follow adds the present use to the rate.
func (c *contest) follow(elapsed float64) {
	cores, objectives, active := 0.0, 0.0, 0.0
	for _, a := range c.accounts {
		if a.active() {
			cores += a.cores
			objectives += a.objective
			active++
		}
	}
	switch {
	case c.rate == 0:
		c.rate = cores
	case active > 0:
		c.rate += (1 - math.Exp(-elapsed*active/objectives)) * (cores - c.rate)
	}
}

// align sets the level of each group that was idle, or whose queue was not contested, for as long
// as its objective to that of the least served of the competing groups.
func (c *contest) align(now int64) {
	least := math.Inf(1)
	for _, a := range c.accounts {
		if a.competing && now < a.forgetAt {
			least = min(least, a.level)
		}
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	for _, a := range c.accounts {
		if !a.active() {
			continue
		}
		if now >= a.forgetAt {
			a.level, a.starvedAt = least, 0
		}
		a.forgetAt = now + int64(a.objective)
	}
}

// meanLevel returns the mean level of the competing groups, given the sum of their weights.
func (c *contest) meanLevel(weights float64) (mean float64) {
	for _, a := range c.accounts {
		if a.competing {
			mean += a.weight / weights * a.level
		}
	}
	return mean
}
