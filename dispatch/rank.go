package dispatch

import (
	"cmp"

	"rudderfork.example/rudderfork/queue"
)

// hopeFactor is how many times its objective a job may take before finishing it
// is worth nothing to its owner (the users' pages count up to three times as
// late).
const hopeFactor = 3

// rank orders jobs.
type rank struct {
	hopeless bool
	priority int
	deadline int64 // of the objective, leader's clock, Unix ms
}

func rankOf(row queue.Queue, j *queue.Job, now int64) rank {
	span := ObjectiveMS(row, j)
	return rank{
		hopeless: now > j.SubmittedAt+hopeFactor*span && !lasting(j),
		priority: row.Priority,
		deadline: j.SubmittedAt + span,
	}
}

func (r rank) compare(o rank) int {
	return cmp.Or(compareBool(r.hopeless, o.hopeless), cmp.Compare(r.priority, o.priority), cmp.Compare(r.deadline, o.deadline))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func lasting(j *queue.Job) bool {
	for _, st := range j.Spec.Steps {
		if st.Lasting {
			return true
		}
	}
	return false
}

// ObjectiveMS is how long a job of the queue may take: a multiple of its
// longest chain of work, and the queue's latency.
func ObjectiveMS(row queue.Queue, j *queue.Job) int64 {
	return int64(max(1, row.Stretch)*float64(ChainMS(j.Spec))) + row.LatencyMS
}

// ChainMS is the expected length of a job's longest chain of dependent steps.
func ChainMS(spec queue.Spec) (longest int64) {
	ends := make([]int64, len(spec.Steps))
	for i, st := range spec.Steps {
		begin := int64(0)
		for _, d := range st.DependsOn {
			begin = max(begin, ends[d])
		}
		ends[i] = begin + st.ExpectedMS
		longest = max(longest, ends[i])
	}
	return longest
}
