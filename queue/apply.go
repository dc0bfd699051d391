package queue

import (
	"fmt"
	"path"
	"regexp"

	"rudderfork.example/rudderfork"
)

// jobIDPattern is the syntax of a job ID in a path.
var jobIDPattern = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)

// Apply applies a command and returns its result. at is the proposer's clock, Unix ms. The other
// parameters named at in this package are the same time.
func (s *State) Apply(c Command, at int64) Result {
	s.base.addObserved(s.clock.tick(at), len(s.vms))
	s.resolveOldLosses()
	switch {
	case c.Document != nil:
		return s.acceptDocument(c.Document)
	case c.Submit != nil:
		s.forget(s.clock.NowMS - c.Submit.KeepMS)
		return s.submit(*c.Submit, at)
	case c.Cancel != nil:
		return s.cancel(*c.Cancel, at)
	case len(c.Starts) > 0:
		s.markBegun(c.Begun)
		return s.start(c.Starts, at)
	case c.Ends != nil:
		return s.recordEnds(*c.Ends, at)
	case c.Register != nil:
		return s.register(*c.Register, c.Crash, at)
	case c.Lost != nil:
		return s.loseVM(*c.Lost, at)
	case c.Wave != nil:
		return s.acceptWave(*c.Wave)
	case c.Upkeep != nil:
		return s.recordUpkeep(*c.Upkeep)
	case c.Clear != nil:
		return s.clearTask(*c.Clear)
	case c.Evacuate != nil:
		return s.evacuate(*c.Evacuate, at)
	case len(c.Learned) > 0:
		return s.keepLearned(c.Learned)
	}
	return Result{Code: Invalid, Text: "the command is empty"}
}

func (s *State) acceptDocument(d *Document) Result {
	if err := d.Check(); err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	if s.doc != nil && d.Version <= s.doc.Version {
		return Result{Code: Stale}
	}
	s.setDocument(d)
	return Result{Code: OK}
}

func (s *State) setDocument(d *Document) {
	s.doc = d
	clear(s.queuesByName)
	for i := range d.Queues {
		s.queuesByName[d.Queues[i].Name] = &d.Queues[i]
	}
}

// forget deletes the oldest ended jobs: those that ended before a time of the state clock, ms, up to
// the first that has active runs.
func (s *State) forget(before int64) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if j.EndedClock >= before || j.ActiveRuns > 0 {
			return
		}
		delete(s.jobs, j.ID)
		s.ended = s.ended[1:]
	}
}

// locate returns the queue and the job ID that a host and URL path denote. If they denote none, ok
// is false and refusal is the result for the client.
func (s *State) locate(host, urlPath string) (q Queue, id rudderfork.JobID, refusal Result, ok bool) {
	if s.doc == nil {
		return q, "", Result{Code: NoDocument, Text: "no document was ever taken"}, false
	}
	q, rest, found := s.doc.Find(host, urlPath)
	if !found {
		return q, "", Result{Code: NoQueue, Text: "no queue has this host and path"}, false
	}
	if !jobIDPattern.MatchString(rest) {
		return q, "", Result{Code: Invalid, Text: "the path does not end with a job's ID"}, false
	}
	return q, rudderfork.JobID(rest), refusal, true
}

// CheckSubmit returns the queue and the ID of the job that a submission would add now. If it would
// add none, isNew is false and res is its result; later it may add the job with the ID, if there is
// one in the path.
func (s *State) CheckSubmit(c Submit) (q Queue, id rudderfork.JobID, res Result, isNew bool) {
	// A repeated submission succeeds even if the queue of the known job has been removed since.
	last := rudderfork.JobID(path.Base(c.Path))
	if j := s.jobs[last]; j != nil {
		return q, last, Result{Code: OK, Job: last, Queue: j.Queue.Name, Text: "handed in before"}, false
	}
	q, id, refusal, ok := s.locate(c.Host, c.Path)
	if !ok {
		if !jobIDPattern.MatchString(string(last)) {
			last = ""
		}
		return q, last, refusal, false
	}
	if code := s.doc.Limits.exceeded(c.BodyBytes, c.HeaderBytes); code != "" {
		return q, id, Result{Code: code, Text: fmt.Sprintf("a body of %d bytes, a header of %d; the document's limits are %+v", c.BodyBytes, c.HeaderBytes, s.doc.Limits)}, false
	}
	if err := c.Spec.Check(); err != nil {
		return q, id, Result{Code: Invalid, Text: err.Error()}, false
	}
	return q, id, res, true
}

func (s *State) submit(c Submit, at int64) Result {
	q, id, res, isNew := s.CheckSubmit(c)
	if !isNew {
		return res
	}
	j := &Job{ID: id, Queue: q, Spec: c.Spec, Status: Queued, SubmittedAt: at, Occurrences: occurrences(c.Spec), Origin: c.Origin}
	s.jobs[id] = j
	s.live[id] = j
	return Result{Code: OK, Job: id, Queue: q.Name}
}

func occurrences(spec Spec) []*Occurrence {
	n, first, every := 1, int64(0), int64(0)
	if r := spec.Repeat; r != nil {
		n, first, every = r.Count, r.FirstMS, r.EveryMS
	}
	list := make([]*Occurrence, 0, n)
	for k := range n {
		o := &Occurrence{DueMS: first + int64(k)*every}
		for _, st := range spec.Steps {
			o.Steps = append(o.Steps, make([]Task, st.Count))
			o.Remaining = append(o.Remaining, st.Count)
		}
		list = append(list, o)
	}
	return list
}

func (s *State) cancel(c Cancel, at int64) Result {
	_, id, refusal, ok := s.locate(c.Host, c.Path)
	if !ok {
		return refusal
	}
	j := s.jobs[id]
	if j == nil {
		return Result{Code: NoJob, Job: id}
	}
	if !j.Status.Final() {
		s.finish(j, Cancelled, at)
	}
	return Result{Code: OK, Job: id, Queue: j.Queue.Name}
}

func (s *State) finish(j *Job, status Status, at int64) {
	j.Status = status
	j.EndedAt, j.EndedClock = at, s.clock.NowMS
	j.changes++
	s.ended = append(s.ended, j.ID)
	s.retire(j)
}

// start starts runs and assigns their run numbers. It leaves out starts that are no longer valid.
func (s *State) start(starts []Start, at int64) Result {
	res := Result{Code: OK, Numbers: make([]uint32, len(starts))}
	for i := 0; i < len(starts); {
		n := 1
		for starts[i].Group != 0 && i+n < len(starts) && starts[i+n].Group == starts[i].Group {
			n++
		}
		s.startGroup(starts[i:i+n], res.Numbers[i:i+n], at)
		i += n
	}
	return res
}

// markBegun marks jobs as begun.
func (s *State) markBegun(ids []rudderfork.JobID) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			j.Begun = true
		}
	}
}

// startGroup starts all runs of the list under one run number, or none of them if a start is no
// longer valid. A list of one need not be of a gang.
func (s *State) startGroup(list []Start, numbers []uint32, at int64) {
	number := uint32(0)
	for _, st := range list {
		if j := s.jobs[st.Task.Job]; j != nil && j.Task(st.Task) != nil {
			number = max(number, j.Task(st.Task).LastRun+1)
		}
	}
	for i, st := range list {
		if !s.startable(st, at) {
			s.undoStarts(list[:i])
			return
		}
		j := s.jobs[st.Task.Job]
		s.addRun(j, st.Task, j.Task(st.Task), Run{number, st.VM, at, st.Ticket})
	}
	for i, st := range list {
		j := s.jobs[st.Task.Job]
		j.Task(st.Task).LastRun = number
		j.Status = Running
		j.changes++
		numbers[i] = number
	}
}

func (s *State) undoStarts(list []Start) {
	for _, st := range list {
		j := s.jobs[st.Task.Job]
		t := j.Task(st.Task)
		s.removeRun(j, st.Task, t, len(t.Runs)-1)
	}
}

// startable reports whether a start is still valid.
func (s *State) startable(st Start, at int64) bool {
	j, vm := s.jobs[st.Task.Job], s.vms[st.VM]
	if j == nil || vm == nil || vm.Incarnation != st.Incarnation || !s.Runnable(j, st.Task, at) {
		return false
	}
	t := j.Task(st.Task)
	runs := len(t.Runs)
	if runs > 1 || runs == 1 && (!st.Copy || t.Suspect() || !j.Spec.Steps[st.Task.Step].Speculative) {
		return false
	}
	if t.atCrashLimit(s.isLasting(st.Task)) {
		return false // the ends of its active runs decide whether it is given up
	}
	return s.RejectReason(j, st.Task, vm) == ""
}

func (s *State) recordEnds(c Ends, at int64) Result {
	res := Result{Code: OK, Accepted: make([]bool, len(c.List))}
	vm := s.vms[c.VM]
	if vm == nil || vm.Incarnation != c.Incarnation {
		return res // its runs were ended with that incarnation
	}
	for i, e := range c.List {
		res.Accepted[i] = s.endRun(c.VM, e, at)
	}
	return res
}

// endRun ends an active run; false means that the run is not active.
func (s *State) endRun(vm rudderfork.VMID, e End, at int64) bool {
	j := s.jobs[e.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(e.Task)
	if t == nil {
		return false
	}
	for i, r := range t.Runs {
		if r.VM == vm && r.Number == e.Run {
			s.removeRun(j, e.Task, t, i)
			if e.Outcome.hasBegun() {
				j.Begun = true
				t.clearIfProven(e.Outcome, at-r.StartedAt)
			}
			if e.Outcome == OutcomeDone {
				t.TookMS = at - r.StartedAt
			}
			s.applyEnd(j, e, t, at)
			return true
		}
	}
	return false
}

// applyEnd updates the task and the job after the end of a run.
func (s *State) applyEnd(j *Job, e End, t *Task, at int64) {
	st := j.Spec.Steps[e.Task.Step]
	t.EndedAt = at
	j.changes++
	if e.Checkpoint != "" && st.Checkpoints {
		s.saveCheckpoint(j, e.Task, e.Checkpoint)
	}
	if j.Status.Final() {
		return
	}
	switch {
	case st.Lasting:
		// It is started again whatever its outcome.
	case e.Outcome == OutcomeDone && st.Gang:
		for i := range j.Occurrences[e.Task.Occurrence].Steps[e.Task.Step] {
			k := e.Task
			k.Index = i
			s.taskDone(j, k, at)
		}
	case e.Outcome == OutcomeDone:
		s.taskDone(j, e.Task, at)
	case e.Outcome == OutcomeFailed && !t.Done:
		s.taskFailed(j, e.Task, at)
	}
}

// saveCheckpoint stores a checkpoint. The checkpoint of one member of a gang applies to the whole
// gang.
func (s *State) saveCheckpoint(j *Job, k TaskKey, checkpoint string) {
	if !j.Spec.Steps[k.Step].Gang {
		j.Task(k).Checkpoint = checkpoint
		return
	}
	members := j.Occurrences[k.Occurrence].Steps[k.Step]
	for i := range members {
		members[i].Checkpoint = checkpoint
	}
}

// taskDone marks a task as done, and completes the job if it was the last one.
func (s *State) taskDone(j *Job, k TaskKey, at int64) {
	t := j.Task(k)
	if t.Done {
		return
	}
	t.Done = true
	j.Occurrences[k.Occurrence].Remaining[k.Step]--
	for _, o := range j.Occurrences {
		if !o.Done() {
			return
		}
	}
	s.finish(j, Completed, at)
}

// taskFailed counts a failed attempt, and fails the job once a task has no attempt left. The failures
// of all members of a gang are counted on its first task.
func (s *State) taskFailed(j *Job, k TaskKey, at int64) {
	if j.Spec.Steps[k.Step].Gang {
		k.Index = 0
	}
	t := j.Task(k)
	t.Failures++
	if t.Failures >= max(1, s.CurrentQueue(j).MaxAttempts) {
		s.finish(j, Failed, at)
	}
}

// register adds or updates a VM. If its incarnation differs from the registered one, all runs of the
// registered one end.
func (s *State) register(v VM, crash *Crash, at int64) Result {
	res := Result{Code: OK}
	v.Epoch, v.Leaving = 1, false
	v.UnresolvedRuns, v.LeaseExpiredAt, v.Resolved, v.ExecutorSilent, v.Crashes = nil, 0, false, false, CrashHistory{}
	if old := s.vms[v.ID]; old != nil {
		same := mayBeSame(old.Incarnation, v.Incarnation)
		term := terminationOf(old, crash)
		term.replaced = true
		switch {
		case !old.Live:
			res.Assessments = s.resolveReturned(old, term, same, at)
		case !same:
			res = s.endIncarnation(old, term, nil, at)
		}
		v.used, v.runs, v.Epoch, v.Crashes = old.used, old.runs, old.Epoch, old.Crashes
		v.Leaving = same && old.Leaving
		if !same || !old.Live {
			v.Epoch++
		}
	}
	v.Live = true
	s.setVM(&v)
	return res
}

// terminationOf returns how the incarnation of a VM's executor ended, according to the report of
// its agent.
func terminationOf(vm *VM, crash *Crash) termination {
	crash = crash.ForIncarnation(vm.Incarnation)
	return termination{planned: vm.Leaving || crash.announced(), crash: crash}
}

// TasksAtCrash returns the tasks whose runs end if v registers and thereby shows that the previous
// incarnation crashed. crashed is false if v replaces no incarnation, or one whose end was planned.
func (s *State) TasksAtCrash(v VM, crash *Crash) (tasks []TaskKey, crashed bool) {
	old := s.vms[v.ID]
	if old == nil || mayBeSame(old.Incarnation, v.Incarnation) {
		return nil, false
	}
	term := terminationOf(old, crash)
	if term.planned {
		return nil, false
	}
	for _, r := range s.activeRuns(old, term.crash, 0) {
		tasks = append(tasks, r.Task)
	}
	return tasks, true
}

// mayBeSame reports whether the names in a VM's previous and current registrations may denote the
// same incarnation. Agents of earlier releases name incarnations by the executor ID alone. When an
// agent adds the start time to such a name, the runs of the incarnation must not count as ended.
func mayBeSame(previous, current string) bool {
	id, _ := rudderfork.SplitIncarnation(current)
	return previous == current || previous == id
}

func (s *State) loseVM(c VMLoss, at int64) Result {
	vm := s.vms[c.VM]
	if vm == nil || vm.Incarnation != c.Incarnation || c.Epoch != 0 && c.Epoch != vm.Epoch {
		return Result{Code: Stale}
	}
	term := terminationOf(vm, c.Crash)
	term.planned = term.planned || c.Departed
	if !vm.Live {
		s.loseAgain(vm, term, at)
		return Result{Code: Stale}
	}
	res := s.endIncarnation(vm, term, c.Checkpoints, at)
	vm.Live = false
	return res
}

// loseAgain handles a second loss of the same incarnation. The first loss has ended its runs, but
// only the second may tell that the end of the incarnation was planned.
func (s *State) loseAgain(vm *VM, term termination, at int64) {
	if term.planned {
		s.resolveReturned(vm, term, true, at)
	}
}

// endAllRuns ends every active run of a VM with OutcomeLost.
func (s *State) endAllRuns(vm *VM, checkpoints map[TaskKey]string, at int64) (lost []LostRun) {
	for _, k := range sortedKeys(vm.runs) {
		run := vm.runs[k]
		s.endRun(vm.ID, End{Task: k, Run: run, Outcome: OutcomeLost, Checkpoint: checkpoints[k]}, at)
		lost = append(lost, LostRun{Task: k, Run: run})
	}
	return lost
}
