package scheduler

import "rudderfork.example/rudderfork"

// maxUnresolved bounds the submissions that are remembered because their outcome is unknown.
const maxUnresolved = 4_096

// commits knows which submissions this process may still commit. Those of earlier leaders are no
// concern: once a leader has committed an entry of its term, entries of earlier terms that it does
// not hold are never committed.
type commits struct {
	begun      uint64                    // number of commits begun so far
	active     map[rudderfork.JobID]int  // number of commits in progress
	unresolved map[rudderfork.JobID]mark // the last commit of the job with an unknown outcome
	overflow   mark                      // of the last commit that did not fit into unresolved
}

// mark is the number of commits that had begun when the outcome of one was found to be unknown; 0
// for none.
type mark uint64

func newCommits() *commits {
	return &commits{active: map[rudderfork.JobID]int{}, unresolved: map[rudderfork.JobID]mark{}}
}

// begin records that a submission is about to be committed, and returns the number of the commit.
func (c *commits) begin(id rudderfork.JobID) (number uint64) {
	c.begun++
	c.active[id]++
	return c.begun
}

// end records the outcome of a commit: committed means that the command was applied, and unknown that
// it may be applied later. Commands are applied in the order of their proposals, so a committed one
// resolves all that were proposed before it.
func (c *commits) end(id rudderfork.JobID, number uint64, committed, unknown bool) {
	if c.active[id]--; c.active[id] <= 0 {
		delete(c.active, id)
	}
	switch {
	case committed:
		c.resolve(number)
	case !unknown:
	case len(c.unresolved) >= maxUnresolved:
		c.overflow = mark(c.begun)
	default:
		c.unresolved[id] = mark(c.begun)
	}
}

// resolve drops the commits that had ended when the one with the given number began.
func (c *commits) resolve(number uint64) {
	for id, m := range c.unresolved {
		if uint64(m) < number {
			delete(c.unresolved, id)
		}
	}
	if uint64(c.overflow) < number {
		c.overflow = 0
	}
}

// mayCommit reports whether a submission of a job may be committed although none is begun any more.
func (c *commits) mayCommit(id rudderfork.JobID) bool {
	return c.active[id] > 0 || c.unresolved[id] != 0 || c.overflow != 0
}
