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
	// heardFor is for how long a job must have been accepted before a count has to tell it.
	heardFor = 5 * time.Second
	// calmCount and calmAllKilled are without faults before a count is judged.
	calmCount     = 4 * time.Second
	calmAllKilled = 8 * time.Second
	// calmRun is without faults before a lasting task's absence is judged, and absence is
	// how long it may be.
	calmRun = 7 * time.Second
	absence = 9 * time.Second
	// roomFor is for how long there has to be room.
	roomFor = 3 * time.Second
	// calmState is without faults before a state is judged.
	calmState = 4 * time.Second
	attempts  = 3 // of a task that fails
)

// job is one that a client hands in.
type job struct {
	id, queue string
	lasting   bool
	cpu       int64
	tasks     int
	accepted  time.Time // zero until a client has its word
	begun     time.Time
	state     string  // as last shown
	seen      []*task // its tasks that executors have begun
}

// task is what executors have seen of one.
type task struct {
	active   map[int]active // by machine
	ended    time.Time
	last     string // how its last run ended
	done     bool
	failures int
	told     bool // its absence was reported
}

// active is a run at work.
type active struct {
	run   uint32
	since time.Time
}

// watch gathers what clients and executors see, and checks it.
type watch struct {
	begin time.Time
	log   func(string)

	mu        sync.Mutex
	jobs      map[string]*job
	tasks     map[rudderfork.TaskID]*task
	used      map[int]int64     // by machine
	upSince   map[int]time.Time // machines that are up
	roomSince time.Time         // since when two machines have had room for any task; zero if not
	faults    int               // under way
	lastFault time.Time
	allKilled time.Time
	broken    []string
	untold    map[string]string // first of the jobs that a count left out last, by entry and queue
	counts    int               // that were judged with a job that has to be told
	least     float64           // share of those jobs that a count told
	longest   time.Duration     // absence of a lasting task, where it is judged
}

func newWatch(log func(string)) *watch {
	return &watch{
		begin: time.Now(), log: log, jobs: map[string]*job{}, tasks: map[rudderfork.TaskID]*task{},
		used: map[int]int64{}, untold: map[string]string{}, least: 1, upSince: map[int]time.Time{},
	}
}

// say writes a line of the time line.
func (w *watch) say(format string, args ...any) {
	now := time.Now()
	w.log(fmt.Sprintf("%7.3f %d %s", now.Sub(w.begin).Seconds(), now.UnixMicro(), fmt.Sprintf(format, args...)))
}

// breaks notes a broken promise. The caller holds mu.
func (w *watch) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.say("BROKEN %s", text)
}

// fault begins or ends a fault.
func (w *watch) fault(begins bool, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if begins {
		w.faults++
	} else {
		w.faults--
	}
	w.lastFault = time.Now()
	w.say("%s", text)
}

func (w *watch) killsAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allKilled = time.Now()
}

// calm reports whether there was no fault for a time. The caller holds mu.
func (w *watch) calm(now time.Time, d time.Duration) bool {
	return w.faults == 0 && now.Sub(w.lastFault) >= d
}

func (w *watch) up(machine int, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.upSince, machine)
	if up {
		w.upSince[machine] = time.Now()
	}
}

func (w *watch) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

func (w *watch) accept(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
}

func (w *watch) job(id rudderfork.TaskID) *job {
	name, _, _ := strings.Cut(string(id), ".")
	if w.jobs[name] == nil {
		w.breaks("UNASKED: %s is started, and nobody handed it in", id)
		w.jobs[name] = &job{id: name}
	}
	return w.jobs[name]
}

func (w *watch) task(id rudderfork.TaskID) *task {
	if w.tasks[id] == nil {
		w.tasks[id] = &task{active: map[int]active{}}
		w.job(id).seen = append(w.job(id).seen, w.tasks[id])
	}
	return w.tasks[id]
}

// started hears of a run that begins on a machine.
func (w *watch) started(machine int, ref rudderfork.RunRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, j, t := time.Now(), w.job(ref.Task), w.task(ref.Task)
	if j.begun.IsZero() {
		j.begun = now
	}
	if j.state == "completed" {
		w.breaks("TWICE: %s run %d starts on %d after its job was shown as completed", ref.Task, ref.Run, machine)
	}
	if t.done && w.calm(now, calmRun) && now.Sub(t.ended) > time.Second && w.calmAt(t.ended) {
		w.breaks("TWICE: %s run %d starts on %d, %.1f s after it was done", ref.Task, ref.Run, machine, now.Sub(t.ended).Seconds())
	}
	t.active[machine] = active{ref.Run, now}
	w.used[machine] += j.cpu
	t.told = false
}

// calmAt reports whether the last fault was well before a time. The caller holds mu.
func (w *watch) calmAt(at time.Time) bool { return w.lastFault.Add(calmRun).Before(at) }

// finished hears of a run that ends.
func (w *watch) finished(machine int, ref rudderfork.RunRef, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.task(ref.Task)
	delete(t.active, machine)
	w.used[machine] -= w.job(ref.Task).cpu
	t.ended, t.last = time.Now(), fmt.Sprintf("run %d on side-%d %s", ref.Run, machine+1, how)
	t.done = t.done || how == "done"
	if how == "failed" {
		t.failures++
	}
}

// look checks what is at work. looked is when the executors were asked to end what is due.
func (w *watch) look(looked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for id, t := range w.tasks {
		n := 0
		for _, a := range t.active {
			if a.since.Before(looked) {
				n++
			}
		}
		if n > 1 && !t.told {
			t.told = true
			w.breaks("TWICE: %s is at work on machines %v, counted from 0", id, slices.Sorted(maps.Keys(t.active)))
		}
	}
	w.measureRoom(now)
	if !w.calm(now, calmRun) || w.roomSince.IsZero() || now.Sub(w.roomSince) < roomFor {
		return
	}
	for _, j := range w.jobs {
		if j.lasting && !j.accepted.IsZero() {
			w.lookLasting(j, now)
		}
	}
}

// lookLasting checks that each task of a job is at work. The caller holds mu.
func (w *watch) lookLasting(j *job, now time.Time) {
	for i := range j.tasks {
		t := w.task(rudderfork.TaskID(fmt.Sprintf("%s.0.0.%d", j.id, i)))
		from := t.ended
		if from.Before(j.accepted) {
			from = j.accepted
		}
		if len(t.active) > 0 {
			continue
		}
		w.longest = max(w.longest, now.Sub(from))
		if !t.told && now.Sub(from) > absence {
			t.told = true
			w.breaks("LOST: nothing of %s.0.0.%d for %.1f s, after %s", j.id, i, now.Sub(from).Seconds(), t.last)
		}
	}
}

// measureRoom notes whether two machines have room for any task, and a quarter of all is free. The caller holds mu.
func (w *watch) measureRoom(now time.Time) {
	n, used := 0, int64(0)
	for m, since := range w.upSince {
		used += w.used[m]
		if now.Sub(since) > roomFor && cpuRoom-w.used[m] >= shortCPU {
			n++
		}
	}
	switch {
	case n < 2 || 4*used > 3*cpuRoom*int64(len(w.upSince)):
		w.roomSince = time.Time{}
	case w.roomSince.IsZero():
		w.roomSince = now
	}
}

// counted checks a queue's count, asked at a time and answered now.
func (w *watch) counted(entry, queue string, asked time.Time, waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var ids []string
	for _, j := range w.jobs {
		if j.queue == queue && !j.accepted.IsZero() && asked.Sub(j.accepted) > heardFor && j.begun.IsZero() && j.state == "" {
			ids = append(ids, j.id)
		}
	}
	if len(ids) == 0 || !w.calm(now, calmCount) || now.Sub(w.allKilled) < calmAllKilled {
		return
	}
	w.counts++
	w.least = min(w.least, float64(waiting)/float64(len(ids)))
	slices.Sort(ids)
	if first := ids[0]; 2*waiting < len(ids) && first != w.untold[entry+queue] {
		w.untold[entry+queue] = first // the same jobs are told of once
		w.breaks("MIXED: %s tells %d waiting in %s, and %d haven't begun: %v", entry, waiting, queue, len(ids), ids)
	}
}

// shown checks a job's state as a client is told it.
func (w *watch) shown(entry string, j *job, asked time.Time, status int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.accepted.IsZero() || asked.Sub(j.accepted) < time.Second {
		return
	}
	switch {
	case status == 410 && w.calm(time.Now(), calmState):
		w.breaks("LOST: %s answers 410 for %s, which was accepted", entry, j.id)
	case state == "completed" && j.done() < j.tasks && j.state != state:
		w.breaks("MIXED: %s shows %s as completed with %d of %d tasks done", entry, j.id, j.done(), j.tasks)
	case state == "failed" && j.failures() < attempts, state == "cancelled":
		if j.state != state {
			w.breaks("LOST: %s shows %s as %s, its task with most failures has %d", entry, j.id, state, j.failures())
		}
	}
	if state == "completed" || state == "failed" || state == "cancelled" {
		j.state = state
	}
}

func (j *job) done() (n int) {
	for _, t := range j.seen {
		if t.done {
			n++
		}
	}
	return n
}

// failures is how often a task of the job has failed.
func (j *job) failures() (n int) {
	for _, t := range j.seen {
		n = max(n, t.failures)
	}
	return n
}

// accepted returns the accepted jobs, or those short ones that no client has seen the end of.
func (w *watch) accepted(open bool) (js []*job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if !j.accepted.IsZero() && (!open || !j.lasting && j.state == "") {
			js = append(js, j)
		}
	}
	return js
}
