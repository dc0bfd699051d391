//go:build proof

package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// countLag is for how long a job must have been accepted before a count has to tell it.
	countLag = 5 * time.Second
	// faultFreeBeforeCount and calmAllKilled are without faults before a count is judged.
	faultFreeBeforeCount = 4 * time.Second
	countAfterAllKilled  = 8 * time.Second
	// faultFreeBeforeRun is without faults before a lasting task's absence is judged, and absence is
	// how long it may be.
	faultFreeBeforeRun = 7 * time.Second
	maxAbsence         = 9 * time.Second
	// minCapacityTime is for how long there has to be room.
	minCapacityTime = 3 * time.Second
	// faultFreeBeforeState is without faults before a state is judged.
	faultFreeBeforeState = 4 * time.Second
	maxAttempts          = 3 // of a task that fails
)

// job is one that a client hands in.
type job struct {
	id, queue     string
	lasting       bool
	cpu           int64
	tasks         int
	acceptedAt    time.Time // zero until a client has its word
	startedAt     time.Time
	state         string  // as last shown
	recordedTasks []*task // its tasks that executors have begun
}

// task is what executors have seen of one.
type task struct {
	active      map[int]activeRun // by machine
	endedAt     time.Time
	lastOutcome string // how its last run ended
	done        bool
	failures    int
	reported    bool // its absence was reported
}

// activeRun is a run at work.
type activeRun struct {
	run   uint32
	since time.Time
}

// checker gathers what clients and executors see, and checks it.
type checker struct {
	startedAt time.Time
	log       func(string)

	mu             sync.Mutex
	jobs           map[string]*job
	tasks          map[rudderfork.TaskID]*task
	usedCPU        map[int]int64     // by machine
	upSince        map[int]time.Time // machines that are up
	capacitySince  time.Time         // since when two machines have had room for any task; zero if not
	activeFaults   int               // under way
	lastFaultAt    time.Time
	allKilledAt    time.Time
	violations     []string
	undercounted   map[string]string // first of the jobs that a count left out last, by entry and queue
	checkedCounts  int               // that were judged with a job that has to be told
	leastShare     float64           // share of those jobs that a count told
	longestAbsence time.Duration     // absence of a lasting task, where it is judged
}

func newChecker(log func(string)) *checker {
	return &checker{
		startedAt: time.Now(), log: log, jobs: map[string]*job{}, tasks: map[rudderfork.TaskID]*task{},
		usedCPU: map[int]int64{}, undercounted: map[string]string{}, leastShare: 1, upSince: map[int]time.Time{},
	}
}

// logf writes a line of the time line.
func (c *checker) logf(format string, args ...any) {
	now := time.Now()
	c.log(fmt.Sprintf("%7.3f %d %s", now.Sub(c.startedAt).Seconds(), now.UnixMicro(), fmt.Sprintf(format, args...)))
}

// addViolation notes a broken promise. The caller holds mu.
func (c *checker) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.logf("BROKEN %s", text)
}

// logFault begins or ends a logFault.
func (c *checker) logFault(begins bool, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if begins {
		c.activeFaults++
	} else {
		c.activeFaults--
	}
	c.lastFaultAt = time.Now()
	c.logf("%s", text)
}

func (c *checker) noteAllKilled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allKilledAt = time.Now()
}

// faultFree reports whether there was no fault for a time. The caller holds mu.
func (c *checker) faultFree(now time.Time, d time.Duration) bool {
	return c.activeFaults == 0 && now.Sub(c.lastFaultAt) >= d
}

func (c *checker) setUp(machine int, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upSince, machine)
	if up {
		c.upSince[machine] = time.Now()
	}
}

func (c *checker) addJob(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

func (c *checker) markAccepted(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
}

func (c *checker) job(id rudderfork.TaskID) *job {
	name, _, _ := strings.Cut(string(id), ".")
	if c.jobs[name] == nil {
		c.addViolation("UNASKED: %s is started, and nobody handed it in", id)
		c.jobs[name] = &job{id: name}
	}
	return c.jobs[name]
}

func (c *checker) task(id rudderfork.TaskID) *task {
	if c.tasks[id] == nil {
		c.tasks[id] = &task{active: map[int]activeRun{}}
		c.job(id).recordedTasks = append(c.job(id).recordedTasks, c.tasks[id])
	}
	return c.tasks[id]
}

// runStarted hears of a run that begins on a machine.
func (c *checker) runStarted(machine int, ref rudderfork.RunRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, j, t := time.Now(), c.job(ref.Task), c.task(ref.Task)
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	if j.state == "completed" {
		c.addViolation("TWICE: %s run %d starts on %d after its job was shown as completed", ref.Task, ref.Run, machine)
	}
	if t.done && c.faultFree(now, faultFreeBeforeRun) && now.Sub(t.endedAt) > time.Second && c.faultFreeBefore(t.endedAt) {
		c.addViolation("TWICE: %s run %d starts on %d, %.1f s after it was done", ref.Task, ref.Run, machine, now.Sub(t.endedAt).Seconds())
	}
	t.active[machine] = activeRun{ref.Run, now}
	c.usedCPU[machine] += j.cpu
	t.reported = false
}

// faultFreeBefore reports whether the last fault was well before a time. The caller holds mu.
func (c *checker) faultFreeBefore(at time.Time) bool {
	return c.lastFaultAt.Add(faultFreeBeforeRun).Before(at)
}

// runEnded hears of a run that ends.
func (c *checker) runEnded(machine int, ref rudderfork.RunRef, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(ref.Task)
	delete(t.active, machine)
	c.usedCPU[machine] -= c.job(ref.Task).cpu
	t.endedAt, t.lastOutcome = time.Now(), fmt.Sprintf("run %d on side-%d %s", ref.Run, machine+1, outcome)
	t.done = t.done || outcome == "done"
	if outcome == "failed" {
		t.failures++
	}
}

// checkRuns checks what is at work. looked is when the executors were asked to end what is due.
func (c *checker) checkRuns(polledAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for id, t := range c.tasks {
		n := 0
		for _, a := range t.active {
			if a.since.Before(polledAt) {
				n++
			}
		}
		if n > 1 && !t.reported {
			t.reported = true
			c.addViolation("TWICE: %s is at work on machines %v, counted from 0", id, slices.Sorted(maps.Keys(t.active)))
		}
	}
	c.updateCapacity(now)
	if !c.faultFree(now, faultFreeBeforeRun) || c.capacitySince.IsZero() || now.Sub(c.capacitySince) < minCapacityTime {
		return
	}
	for _, j := range c.jobs {
		if j.lasting && !j.acceptedAt.IsZero() {
			c.checkLasting(j, now)
		}
	}
}

// checkLasting checks that each task of a job is at work. The caller holds mu.
func (c *checker) checkLasting(j *job, now time.Time) {
	for i := range j.tasks {
		t := c.task(rudderfork.TaskID(fmt.Sprintf("%s.0.0.%d", j.id, i)))
		from := t.endedAt
		if from.Before(j.acceptedAt) {
			from = j.acceptedAt
		}
		if len(t.active) > 0 {
			continue
		}
		c.longestAbsence = max(c.longestAbsence, now.Sub(from))
		if !t.reported && now.Sub(from) > maxAbsence {
			t.reported = true
			c.addViolation("LOST: nothing of %s.0.0.%d for %.1f s, after %s", j.id, i, now.Sub(from).Seconds(), t.lastOutcome)
		}
	}
}

// updateCapacity notes whether two machines have room for any task, and a quarter of all is free. The caller holds mu.
func (c *checker) updateCapacity(now time.Time) {
	n, used := 0, int64(0)
	for m, since := range c.upSince {
		used += c.usedCPU[m]
		if now.Sub(since) > minCapacityTime && machineCPU-c.usedCPU[m] >= shortCPU {
			n++
		}
	}
	switch {
	case n < 2 || 4*used > 3*machineCPU*int64(len(c.upSince)):
		c.capacitySince = time.Time{}
	case c.capacitySince.IsZero():
		c.capacitySince = now
	}
}

// checkCount checks a queue's count, asked at a time and answered now.
func (c *checker) checkCount(entry, queue string, askedAt time.Time, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var ids []string
	for _, j := range c.jobs {
		if j.queue == queue && !j.acceptedAt.IsZero() && askedAt.Sub(j.acceptedAt) > countLag && j.startedAt.IsZero() && j.state == "" {
			ids = append(ids, j.id)
		}
	}
	if len(ids) == 0 || !c.faultFree(now, faultFreeBeforeCount) || now.Sub(c.allKilledAt) < countAfterAllKilled {
		return
	}
	c.checkedCounts++
	c.leastShare = min(c.leastShare, float64(waiting)/float64(len(ids)))
	slices.Sort(ids)
	if first := ids[0]; 2*waiting < len(ids) && first != c.undercounted[entry+queue] {
		c.undercounted[entry+queue] = first // the same jobs are told of once
		c.addViolation("MIXED: %s tells %d waiting in %s, and %d haven't begun: %v", entry, waiting, queue, len(ids), ids)
	}
}

// checkState checks a job's state as a client is told it.
func (c *checker) checkState(entry string, j *job, askedAt time.Time, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.acceptedAt.IsZero() || askedAt.Sub(j.acceptedAt) < time.Second {
		return
	}
	switch {
	case status == 410 && c.faultFree(time.Now(), faultFreeBeforeState):
		c.addViolation("LOST: %s answers 410 for %s, which was accepted", entry, j.id)
	case state == "completed" && j.doneTasks() < j.tasks && j.state != state:
		c.addViolation("MIXED: %s shows %s as completed with %d of %d tasks done", entry, j.id, j.doneTasks(), j.tasks)
	case state == "failed" && j.maxFailures() < maxAttempts, state == "cancelled":
		if j.state != state {
			c.addViolation("LOST: %s shows %s as %s, its task with most failures has %d", entry, j.id, state, j.maxFailures())
		}
	}
	if state == "completed" || state == "failed" || state == "cancelled" {
		j.state = state
	}
}

func (j *job) doneTasks() (n int) {
	for _, t := range j.recordedTasks {
		if t.done {
			n++
		}
	}
	return n
}

// maxFailures is how often a task of the job has failed.
func (j *job) maxFailures() (n int) {
	for _, t := range j.recordedTasks {
		n = max(n, t.failures)
	}
	return n
}

// acceptedJobs returns the acceptedJobs jobs, or those short ones that no client has seen the end of.
func (c *checker) acceptedJobs(openOnly bool) (js []*job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() && (!openOnly || !j.lasting && j.state == "") {
			js = append(js, j)
		}
	}
	return js
}
