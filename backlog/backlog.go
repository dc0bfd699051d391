// Package backlog predicts when a submitted job would end, and decides whether to refuse it.
//
// The planner summarizes the tasks that wait (Summary). From the summary, the Controller predicts how
// long the work ahead of a new job keeps the VMs busy. It refuses a job that would almost certainly
// end after the time at which it is worth nothing to its owner, and a job with a task that fits on no
// VM. All times are passed in.
//
// Work is measured in thousandths of a core times ms, and rates in thousandths of a core.
package backlog

import (
	"cmp"
	"slices"
	"sort"

	"rudderfork.example/rudderfork"
)

// Lane is a set of tasks that compete for the same capacity.
type Lane struct {
	Service rudderfork.Service
	Filler  bool   // fillers use idle processors, short tasks reserve them
	Label   string // label that the VM must carry; "" for none
}

// Entry is the work of one job that waits in a lane.
type Entry struct {
	Priority int     // 0 is the most important
	JobWork  float64 // remaining work of the whole job; within a priority, the least goes first
	Work     float64 // of the tasks in the lane that have no run
}

// Queue is the state of a lane after a plan.
type Queue struct {
	Entries []Entry
	Waiting int                  // ready tasks that the plan does not start
	Least   rudderfork.Resources // the smallest amounts that one of these needs

	// Rate is the capacity that the lane's tasks use, plus the free capacity of the VMs on which the
	// smallest ready task would fit.
	Rate float64
	// Free holds the free capacities of the VMs. A task that fits into one does not wait behind the
	// others, which have been offered the capacity.
	Free Capacities

	ahead []float64 // by index in Entries, the work of the entries up to and including it
}

// AddReady adds ready tasks of a size that the plan does not start.
func (q *Queue) AddReady(size rudderfork.Resources, tasks int) {
	if q.Waiting == 0 {
		q.Least = size
	}
	q.Waiting += tasks
	q.Least = q.Least.Min(size)
}

// workAhead returns the waiting work that goes before a job.
func (q *Queue) workAhead(priority int, jobWork float64) float64 {
	n := sort.Search(len(q.Entries), func(i int) bool {
		e := q.Entries[i]
		return e.Priority > priority || e.Priority == priority && e.JobWork > jobWork
	})
	if n == 0 {
		return 0
	}
	return q.ahead[n-1]
}

// Summary describes the waiting work and the VMs at one time.
type Summary struct {
	at     int64 // Unix ms
	lanes  map[Lane]*Queue
	shapes *Shapes
}

// NewSummary returns the summary of a plan made at a time, Unix ms. It sorts the entries.
func NewSummary(at int64, lanes map[Lane]*Queue, shapes *Shapes) *Summary {
	for _, q := range lanes {
		slices.SortFunc(q.Entries, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.JobWork, b.JobWork))
		})
		q.ahead = make([]float64, len(q.Entries))
		sum := 0.0
		for i, e := range q.Entries {
			sum += e.Work
			q.ahead[i] = sum
		}
	}
	return &Summary{at, lanes, shapes}
}

// Lane returns the state of a lane, or nil if nothing waits in it.
func (s *Summary) Lane(l Lane) *Queue { return s.lanes[l] }
