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
	// countLag is how long after its acceptance a job may be missing from counts.
	countLag = 5 * time.Second
	// faultFreeBeforeCount is the time without faults before a count is checked, and
	// countAfterAllKilled the time since all core processes were killed.
	faultFreeBeforeCount = 4 * time.Second
	countAfterAllKilled  = 8 * time.Second
	// faultFreeBeforeRun is the time without faults before it is checked that lasting tasks
	// have a run, and maxAbsence is how long a task may have none.
	faultFreeBeforeRun = 7 * time.Second
	maxAbsence         = 9 * time.Second
	// minCapacityTime is how long there must have been capacity for any task before lasting
	// tasks are checked.
	minCapacityTime = 3 * time.Second
	// faultFreeBeforeState is the time without faults before a state is checked.
	faultFreeBeforeState = 4 * time.Second
	maxAttempts          = 3 // attempts at a task before its job fails
)

// job is a job that a client submits.
type job struct {
	id, queue     string
	lasting       bool
	cpu           int64     // of each task, in thousandths of a core
	tasks         int       // number of tasks
	acceptedAt    time.Time // when a client was first told that it is accepted; zero before
	refused       bool      // each call that submitted it was answered that it is not accepted
	startedAt     time.Time // when its first run started; zero before
	state         string    // final state that a client was last shown; empty if none
	recordedTasks []*task   // its tasks in checker.tasks
}

// task records what executors report of one task.
type task struct {
	active      map[int]activeRun // runs in progress, by machine
	endedAt     time.Time         // when its last run ended
	lastOutcome string            // the last run and its outcome
	done        bool
	failures    int
	reported    bool // a violation was reported since its last start
}

// activeRun is a run in progress.
type activeRun struct {
	run   uint32
	since time.Time
}

// checker records what clients and executors observe, and checks it.
type checker struct {
	startedAt time.Time
	log       func(string)

	mu             sync.Mutex
	jobs           map[string]*job
	tasks          map[rudderfork.TaskID]*task
	usedCPU        map[int]int64     // by machine, in thousandths of a core
	upSince        map[int]time.Time // when the executors that are up came up, by machine
	capacitySince  time.Time         // since when there has been capacity for any task (see updateCapacity); zero if there is none
	activeFaults   int               // number of faults in progress
	lastFaultAt    time.Time         // when a fault last began or ended
	allKilledAt    time.Time         // when all core processes were last killed
	violations     []string
	undercounted   map[string]string // first of the jobs missing from the last reported count, by entry and queue
	checkedCounts  int               // counts that had to include at least one job
	leastShare     float64           // smallest share of those jobs that a count included
	longestAbsence time.Duration     // longest time that a lasting task had no run, where it is checked
}

func newChecker(log func(string)) *checker {
	return &checker{
		startedAt: time.Now(), log: log, jobs: map[string]*job{}, tasks: map[rudderfork.TaskID]*task{},
		usedCPU: map[int]int64{}, undercounted: map[string]string{}, leastShare: 1, upSince: map[int]time.Time{},
	}
}

// logf writes a line to the timeline.
func (c *checker) logf(format string, args ...any) {
	now := time.Now()
	c.log(fmt.Sprintf("%7.3f %d %s", now.Sub(c.startedAt).Seconds(), now.UnixMicro(), fmt.Sprintf(format, args...)))
}

// addViolation records a violation. The caller holds mu.
func (c *checker) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.logf("BROKEN %s", text)
}

// logFault records the start or the end of a fault, and writes it to the timeline.
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

// noteAllKilled records that all core processes are killed now.
func (c *checker) noteAllKilled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allKilledAt = time.Now()
}

// faultFree reports whether no fault is in progress and none has ended within the duration
// d. The caller holds mu.
func (c *checker) faultFree(now time.Time, d time.Duration) bool {
	return c.activeFaults == 0 && now.Sub(c.lastFaultAt) >= d
}

// setExecutorUp records whether the executor of a machine is up.
func (c *checker) setExecutorUp(machine int, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upSince, machine)
	if up {
		c.upSince[machine] = time.Now()
	}
}

// addJob adds a job before it is submitted.
func (c *checker) addJob(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

// markAccepted records that a client was told that its job is accepted.
func (c *checker) markAccepted(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.acceptedAt.IsZero() {
		j.acceptedAt = time.Now()
	}
}

// markRefused records that a client was told in each answer that its job is not accepted.
func (c *checker) markRefused(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.refused = true
	if !j.startedAt.IsZero() {
		c.addViolation("UNASKED: a client is told that %s is refused, which has run", j.id)
	}
}

// job returns the job of a task. It is a violation if no client submitted it. The caller
// holds mu.
func (c *checker) job(id rudderfork.TaskID) *job {
	name, _, _ := strings.Cut(string(id), ".")
	if c.jobs[name] == nil {
		c.addViolation("UNASKED: %s is started, and nobody handed it in", id)
		c.jobs[name] = &job{id: name}
	}
	return c.jobs[name]
}

// task returns the record of a task, which the first call creates. The caller holds mu.
func (c *checker) task(id rudderfork.TaskID) *task {
	if c.tasks[id] == nil {
		c.tasks[id] = &task{active: map[int]activeRun{}}
		c.job(id).recordedTasks = append(c.job(id).recordedTasks, c.tasks[id])
	}
	return c.tasks[id]
}

// runStarted records and checks a run that an executor starts.
func (c *checker) runStarted(machine int, ref rudderfork.RunRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, j, t := time.Now(), c.job(ref.Task), c.task(ref.Task)
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	if j.refused {
		c.addViolation("UNASKED: %s run %d starts on %d although its job was refused", ref.Task, ref.Run, machine)
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

// faultFreeBefore reports whether the last fault was well before the time at. The caller
// holds mu.
func (c *checker) faultFreeBefore(at time.Time) bool {
	return c.lastFaultAt.Add(faultFreeBeforeRun).Before(at)
}

// runEnded records the end of a run.
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

// checkRuns checks the runs in progress. polledAt is when the executors were polled, which
// ends the runs that are due.
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

// checkLasting checks that each task of a lasting job has a run. The caller holds mu.
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

// updateCapacity records whether there is capacity for any task: two machines have enough
// free CPU for one, and a quarter of all CPU is free. The caller holds mu.
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

// checkCount checks the number of waiting jobs that an entry returned for a queue. The
// query was sent at askedAt. A count is wrong if it is less than half of the jobs that it
// must include.
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
		c.undercounted[entry+queue] = first // report the same jobs once
		c.addViolation("MIXED: %s tells %d waiting in %s, and %d haven't begun: %v", entry, waiting, queue, len(ids), ids)
	}
}

// checkState checks the state of a job that an entry returned. The query was sent at
// askedAt.
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

// doneTasks returns the number of tasks that are done.
func (j *job) doneTasks() (n int) {
	for _, t := range j.recordedTasks {
		if t.done {
			n++
		}
	}
	return n
}

// maxFailures returns the failures of the task that has failed most often.
func (j *job) maxFailures() (n int) {
	for _, t := range j.recordedTasks {
		n = max(n, t.failures)
	}
	return n
}

// acceptedJobs returns the accepted jobs; with openOnly, only short jobs of which no
// client was shown a final state.
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
