package queue

import (
	"fmt"
	"path"
	"regexp"

	"rudderfork.example/rudderfork"
)

// jobIDForm is the form of a job's ID in a path.
var jobIDForm = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)

// Apply applies a command. at is the proposer's clock, Unix ms.
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

// forget drops jobs that ended before a time of the state's clock.
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

// locate finds the queue and the job's ID that a host and path name.
func (s *State) locate(host, where string) (q Queue, id rudderfork.JobID, refusal Result, ok bool) {
	if s.doc == nil {
		return q, "", Result{Code: NoDocument, Text: "no document was ever taken"}, false
	}
	q, rest, found := s.doc.Find(host, where)
	if !found {
		return q, "", Result{Code: NoQueue, Text: "no queue has this host and path"}, false
	}
	if !jobIDForm.MatchString(rest) {
		return q, "", Result{Code: Invalid, Text: "the path does not end with a job's ID"}, false
	}
	return q, rudderfork.JobID(rest), refusal, true
}

func (s *State) submit(c Submit, at int64) Result {
	// A job that is here stays accepted, also if its queue is gone since.
	last := rudderfork.JobID(path.Base(c.Path))
	if j := s.jobs[last]; j != nil {
		return Result{Code: OK, Job: last, Queue: j.Queue.Name, Text: "handed in before"}
	}
	q, id, refusal, ok := s.locate(c.Host, c.Path)
	if !ok {
		return refusal
	}
	if code := s.doc.Limits.exceeded(c.BodyBytes, c.HeaderBytes); code != "" {
		return Result{Code: code, Text: fmt.Sprintf("a body of %d bytes, a header of %d; the document's limits are %+v", c.BodyBytes, c.HeaderBytes, s.doc.Limits)}
	}
	if err := c.Spec.Check(); err != nil {
		return Result{Code: Invalid, Text: err.Error()}
	}
	j := &Job{ID: id, Queue: q, Spec: c.Spec, Status: Queued, SubmittedAt: at, Occurrences: occurrences(c.Spec)}
	s.jobs[id] = j
	s.live[id] = j
	return Result{Code: OK, Job: id, Queue: q.Name}
}

func occurrences(spec Spec) []*Occurrence {
	n, first, every := 1, int64(0), int64(0)
	if r := spec.Repeat; r != nil {
		n, first, every = r.Count, r.FirstMS, r.EveryMS
	}
	times := make([]*Occurrence, 0, n)
	for k := range n {
		o := &Occurrence{DueMS: first + int64(k)*every}
		for _, st := range spec.Steps {
			o.Steps = append(o.Steps, make([]Task, st.Count))
			o.Remaining = append(o.Remaining, st.Count)
		}
		times = append(times, o)
	}
	return times
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

// start gives run numbers to the starts that are still right.
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

// markBegun notes jobs of which executors have begun a task.
func (s *State) markBegun(ids []rudderfork.JobID) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			j.Begun = true
		}
	}
}

// startGroup starts all of the list under one number, or none.
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
		return false // it is given up once its runs have ended, unless they end well
	}
	return s.RejectReason(j, st.Task, vm) == ""
}

func (s *State) recordEnds(c Ends, at int64) Result {
	res := Result{Code: OK, Accepted: make([]bool, len(c.List))}
	vm := s.vms[c.VM]
	if vm == nil || vm.Incarnation != c.Incarnation {
		return res // its runs were counted as lost with that life
	}
	for i, e := range c.List {
		res.Accepted[i] = s.endRun(c.VM, e, at)
	}
	return res
}

// endRun takes the end of an active run; false means that it is not active.
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
				t.recordEnd(e.Outcome, at-r.StartedAt)
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

// applyEnd draws the conclusions of a run's end for its task and job.
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
		// However it ended, it is started again.
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

// saveCheckpoint keeps a checkpoint; that of one member serves its whole gang.
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

// taskFailed counts a failed attempt. The members of a gang count together, on
// the first of them.
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

// register takes a VM's description of itself. With a new life, all that ran
// there before is over.
func (s *State) register(v VM, seen *Crash, at int64) Result {
	res := Result{Code: OK}
	v.Epoch, v.Leaving = 1, false
	v.UnresolvedRuns, v.LeaseExpiredAt, v.Resolved, v.ExecutorSilent, v.Crashes = nil, 0, false, false, CrashHistory{}
	if old := s.vms[v.ID]; old != nil {
		same := mayBeSame(old.Incarnation, v.Incarnation)
		how := terminationOf(old, seen)
		how.replaced = true
		switch {
		case !old.Live:
			res.Assessments = s.resolveReturned(old, how, same, at)
		case !same:
			res = s.endIncarnation(old, how, nil, at)
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

// terminationOf is how the life of a VM's executor has ended, by what its agent has seen.
func terminationOf(vm *VM, seen *Crash) termination {
	seen = seen.ForIncarnation(vm.Incarnation)
	return termination{planned: vm.Leaving || seen.announced(), crash: seen}
}

// TasksAtCrash returns the tasks whose runs ended with the life of an executor that v
// follows; crashed is false if v follows none, or one that was to end.
func (s *State) TasksAtCrash(v VM, seen *Crash) (tasks []TaskKey, crashed bool) {
	old := s.vms[v.ID]
	if old == nil || mayBeSame(old.Incarnation, v.Incarnation) {
		return nil, false
	}
	how := terminationOf(old, seen)
	if how.planned {
		return nil, false
	}
	for _, r := range s.activeRuns(old, how.crash, 0) {
		tasks = append(tasks, r.Task)
	}
	return tasks, true
}

// mayBeSame reports whether a life as it is named now may be the one that was named
// before. Agents of earlier releases named lives by their ids alone; what runs in one may
// not be taken for over because it gets to say when it began.
func mayBeSame(before, now string) bool {
	id, _ := rudderfork.SplitIncarnation(now)
	return before == now || before == id
}

func (s *State) loseVM(c VMLoss, at int64) Result {
	vm := s.vms[c.VM]
	if vm == nil || vm.Incarnation != c.Incarnation || c.Epoch != 0 && c.Epoch != vm.Epoch {
		return Result{Code: Stale}
	}
	how := terminationOf(vm, c.Crash)
	how.planned = how.planned || c.Departed
	if !vm.Live {
		s.loseAgain(vm, how, at)
		return Result{Code: Stale}
	}
	res := s.endIncarnation(vm, how, c.Checkpoints, at)
	vm.Live = false
	return res
}

// loseAgain takes the loss of a life that was lost before. Its runs have ended; that it
// left as planned may be news.
func (s *State) loseAgain(vm *VM, how termination, at int64) {
	if how.planned {
		s.resolveReturned(vm, how, true, at)
	}
}

// endAllRuns ends every active run of a VM without a report of its own.
func (s *State) endAllRuns(vm *VM, checkpoints map[TaskKey]string, at int64) (gone []LostRun) {
	for _, k := range sortedKeys(vm.runs) {
		run := vm.runs[k]
		s.endRun(vm.ID, End{Task: k, Run: run, Outcome: OutcomeLost, Checkpoint: checkpoints[k]}, at)
		gone = append(gone, LostRun{Task: k, Run: run})
	}
	return gone
}
