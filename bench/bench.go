// Package bench holds the benchmarks that make bench prints. Some simulate a workload
// and feed it to the packages that decide on routing, admission and placement; others
// run those packages in one process, or the real programs.
//
// The simulations run in virtual time and with fixed seeds, so their figures do not depend
// on the speed of the machine.
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

// clock is the virtual clock of a simulation, with the events that are due.
type clock struct {
	now    time.Time
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int // orders events that are due at the same time
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
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

// after schedules do to run in d.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, do})
}

// run advances the clock to end and handles all events due before it.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event) //nolint:forcetypeassert // only events are pushed
		c.now = e.at
		e.do()
	}
	c.now = end
}

// exponential draws the time between two events of a Poisson process with the given
// rate per second.
func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// lognormal draws a time with the given mean and shape parameter sigma.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// quantile sorts ds and returns its q-quantile, 0 if ds is empty.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

// samples holds one figure from each of several seeds.
type samples []float64

// String returns the median, followed by the minimum and the maximum in brackets.
func (s samples) String() string {
	v := slices.Sorted(slices.Values(s))
	if len(v) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f [%.1f-%.1f]", v[len(v)/2], v[0], v[len(v)-1])
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// printHeading prints the heading of a section.
func printHeading(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, "\n## "+format+"\n", args...)
}

// numSeeds is the number of seeds with which each simulation runs.
const numSeeds = 5
