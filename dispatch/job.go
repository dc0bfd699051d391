package dispatch

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// jobState is what a planner has read of a job.
type jobState struct {
	job     *queue.Job
	changes uint64 // change counter of the job when it was read
	row     queue.Queue

	objectiveFrom int64 // when the objective begins to run, Unix ms
	lasting       bool

	// These are estimates, updated by estimate.
	workMS              []float64 // work time of a task at full speed, by step
	objective, pathLeft int64     // ms; pathLeft is the remaining critical path
	workLeft            float64   // remaining work, thousandths of a core times ms
	fillerWork          []fillerWork
	workTimeVersion     uint64 // View.WorkTimeVersion at the last update

	lastEndedAt int64 // when the last run ended, Unix ms; 0 if none did
	images      []int // by step

	runs         []taskRun                          // active runs, by task
	lastOfStep   map[rudderfork.VMID][]queue.RunKey // by VM, those of runs that are among the last of their step
	waiting      []waitingStep                      // empty if the job is over
	shortRunning ShortTasks                         // running short tasks
	allowsCopies bool                               // a step allows speculative copies
}

// taskRun is an active run.
type taskRun struct {
	key  queue.TaskKey
	task *queue.Task
	run  queue.Run
}

// waitingStep is a step with tasks that have no run.
type waitingStep struct {
	queue.StepKey
	tasks            int // number of tasks without a run
	dependenciesDone bool
	readyAt          int64 // when the step becomes or became ready, Unix ms, if dependenciesDone
}

// fillerWork is the remaining work of a job's fillers of one image, in thousandths of a
// core times ms.
type fillerWork struct {
	image int
	work  float64
}

// readJobs returns the live jobs and reads those again that have changed. They keep
// roughly the order of the previous plan, which makes sorting them cheap.
func (pl *Planner) readJobs(p *pass) []*jobState {
	if doc := p.state.Document(); pl.document != doc {
		pl.jobs, pl.order, pl.document = map[rudderfork.JobID]*jobState{}, nil, doc
	}
	live := p.state.Live()
	list := make([]*jobState, 0, len(live))
	for _, old := range pl.order {
		n := pl.readJob(p, live[old.job.ID])
		if n == nil {
			delete(pl.jobs, old.job.ID)
			continue
		}
		list = append(list, n)
	}
	if len(list) < len(live) {
		for id, j := range live {
			if pl.jobs[id] == nil {
				list = append(list, pl.readJob(p, j))
			}
		}
	}
	pl.order = list // ranked sorts it in place
	return list
}

// readJob reads a job if it has changed. It returns nil for nil, a job that is over.
func (pl *Planner) readJob(p *pass, j *queue.Job) *jobState {
	if j == nil {
		return nil
	}
	n := pl.jobs[j.ID]
	if n == nil || n.job != j || n.changes != j.Changes() {
		n = p.newJobState(j)
		pl.jobs[j.ID] = n
	} else if n.workTimeVersion != p.view.WorkTimeVersion {
		n.estimate(p)
	}
	return n
}

// newJobState reads a job.
func (p *pass) newJobState(j *queue.Job) *jobState {
	row := p.state.CurrentQueue(j)
	n := &jobState{job: j, changes: j.Changes(), row: row, objectiveFrom: objectiveFromMS(j), lasting: hasLastingStep(j)}
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		n.images = append(n.images, p.images.number(st.Image))
		n.allowsCopies = n.allowsCopies || st.Speculative && !st.Gang && !st.Lasting
	}
	n.estimate(p)
	for time, o := range j.Occurrences {
		for step := range o.Steps {
			n.readStep(queue.StepKey{Job: j.ID, Occurrence: time, Step: step}, o.Steps[step])
		}
	}
	n.readRuns()
	return n
}

// estimate updates the estimates that depend on expected work times.
func (n *jobState) estimate(p *pass) {
	j := n.job
	n.workMS, n.workTimeVersion = p.view.WorkTime.estimates(n.row, j, openOccurrence(j)), p.view.WorkTimeVersion
	n.objective, n.pathLeft, n.workLeft = objectiveMS(n.row, j, n.workMS), pathLeftMS(j, n.workMS), workLeft(j, n.workMS)
	n.fillerWork = n.fillerWork[:0]
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if !st.Filler {
			continue
		}
		left := 0
		for _, o := range j.Occurrences {
			left += o.Remaining[i]
		}
		n.fillerWork = append(n.fillerWork, fillerWork{n.images[i], expectedWork(st, n.workMS[i], left)})
	}
}

func (n *jobState) readStep(key queue.StepKey, tasks []queue.Task) {
	waiting := 0
	for index := range tasks {
		t := &tasks[index]
		n.lastEndedAt = max(n.lastEndedAt, t.EndedAt)
		if lacksRun(t) {
			waiting++
		}
		for _, r := range t.Runs {
			k := queue.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: index}
			n.runs = append(n.runs, taskRun{k, t, r})
		}
	}
	if waiting > 0 && !n.job.Status.Final() {
		n.waiting = append(n.waiting, n.waitingStep(key, waiting))
	}
}

// readRuns records which runs are among the last of their steps, and counts short tasks.
func (n *jobState) readRuns() {
	n.lastOfStep = map[rudderfork.VMID][]queue.RunKey{}
	for i := range n.runs {
		r := &n.runs[i]
		st := &n.job.Spec.Steps[r.key.Step]
		if !n.job.Status.Final() && n.isNearlyDone(r.key.StepKey()) {
			n.lastOfStep[r.run.VM] = append(n.lastOfStep[r.run.VM], r.key.Run(r.run.Number))
		}
		if kindOf(st) == Short {
			n.shortRunning.Running++
			n.shortRunning.CPUMilli += st.Size.CPUMilli
		}
	}
}

// lacksRun reports whether a task is not done and has no run.
func lacksRun(t *queue.Task) bool { return !t.Done && len(t.Runs) == 0 }

// waitingStep returns a step that waits. It becomes ready when the job is submitted, the
// occurrence is due and the last task of the steps it depends on has ended.
func (n *jobState) waitingStep(key queue.StepKey, tasks int) waitingStep {
	o := n.job.Occurrences[key.Occurrence]
	st := n.job.Spec.Steps[key.Step]
	w := waitingStep{StepKey: key, tasks: tasks, dependenciesDone: o.StepReady(st), readyAt: max(n.job.SubmittedAt, o.DueMS)}
	for _, before := range st.DependsOn {
		for i := range o.Steps[before] {
			w.readyAt = max(w.readyAt, o.Steps[before][i].EndedAt)
		}
	}
	return w
}

// ranked returns the live jobs in planning order.
func (p *pass) ranked() []*jobState {
	type ranked struct {
		job  *jobState
		rank rank
	}
	list := make([]ranked, len(p.jobs))
	for i, n := range p.jobs {
		list[i] = ranked{n, n.rank(p.view.Now)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := a.rank.compare(b.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.job.job.ID, b.job.job.ID)
	})
	for i, r := range list {
		p.jobs[i] = r.job
	}
	return p.jobs
}
