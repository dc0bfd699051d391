package backlog

import "slices"

const (
	// maxRecentWork is the number of recent jobs of a queue whose work is kept. Fewer would let a
	// few jobs move the limit of the largest tenth.
	maxRecentWork = 64
	// largestShare is the share of a queue's jobs that count as its largest ones.
	largestShare = 0.1
	// maxRateRatio bounds the refusal rate of the largest jobs of a queue, as a multiple of the rate
	// of all of its jobs. The largest jobs go last, so they would be refused most. Users accept twice
	// the rate of all jobs; the limit of the largest tenth is only an estimate.
	maxRateRatio = 1.5
	// maxCounted is the number of jobs from which the counts of older ones are halved, so that the
	// rates follow the load.
	maxCounted = 1_024
)

// sizes holds the work of the most recent jobs of a queue, and counts its refusals by size.
type sizes struct {
	recent []float64 // work; a ring
	sorted []float64 // the same, sorted
	next   int

	all, large counts
}

// counts are the numbers of jobs that have arrived and of those that were refused.
type counts struct{ arrived, refused float64 }

// add adds a job that arrives.
func (s *sizes) add(work float64) {
	if s.all.arrived >= maxCounted {
		for _, c := range []*counts{&s.all, &s.large} {
			c.arrived, c.refused = c.arrived/2, c.refused/2
		}
	}
	s.all.arrived++
	if s.isLarge(work) {
		s.large.arrived++
	}
	if len(s.recent) < maxRecentWork {
		s.recent = append(s.recent, work)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.recent[s.next])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.recent[s.next] = work
		s.next = (s.next + 1) % maxRecentWork
	}
	i, _ := slices.BinarySearch(s.sorted, work)
	s.sorted = slices.Insert(s.sorted, i, work)
}

// isLarge reports whether a job is among the largest of the queue's recent jobs.
func (s *sizes) isLarge(work float64) bool { return work > s.largeLimit() }

// largeLimit returns the work above which a job is among the largest.
func (s *sizes) largeLimit() float64 {
	if len(s.sorted) == 0 {
		return 0
	}
	return s.sorted[int(float64(len(s.sorted))*(1-largestShare))]
}

// mayRefuse reports whether a job of the queue may be refused for load, considering its size.
func (s *sizes) mayRefuse(work float64) bool {
	return !s.isLarge(work) || (s.large.refused+1)*s.all.arrived <= maxRateRatio*(s.all.refused+1)*s.large.arrived
}

// refuse counts the refusal of a job.
func (s *sizes) refuse(work float64) {
	s.all.refused++
	if s.isLarge(work) {
		s.large.refused++
	}
}

// queueSizes holds the sizes of all queues.
type queueSizes map[string]*sizes

// of returns the sizes of a queue.
func (q queueSizes) of(name string) *sizes {
	s := q[name]
	if s == nil {
		if len(q) >= maxQueues {
			clear(q)
		}
		s = &sizes{}
		q[name] = s
	}
	return s
}
