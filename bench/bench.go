// Package bench holds the measurements that make bench prints: drivers that
// feed the pure cores with events and a given time, and runs of the real
// processes.
//
// The drivers measure decisions, not machines: their time is virtual, so their
// figures are the same on every machine for the same seeds.
package bench

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// clock is a queue of events in virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) } //nolint:forcetypeassert // by heap, which gets only events
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, do})
}

// run handles events until end.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event) //nolint:forcetypeassert // as above
		c.now = e.at
		e.do()
	}
	c.now = end
}

// exponential draws the time to the next of events that come at rate a second.
func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws a time with the given mean and shape.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// quantile returns the q-quantile of ds, which it sorts.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

// spread is the least, the median and the greatest of some runs.
type spread []float64

// String gives the median, with the range in brackets.
func (s spread) String() string {
	v := slices.Sorted(slices.Values(s))
	if len(v) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f [%.1f-%.1f]", v[len(v)/2], v[0], v[len(v)-1])
}

// ms gives a time in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// title prints the head of a section.
func title(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, "\n## "+format+"\n", args...)
}

// seeds is how many runs each figure of a driver comes from.
const seeds = 5
