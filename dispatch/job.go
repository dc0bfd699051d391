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
	changes uint64      // change counter of the job when it was read
	queue   queue.Queue // definition of the queue in the current document, see State.CurrentQueue

	objectiveFrom int64 // when the objective begins to run, Unix ms
	lasting       bool
	group         *group // of its callers; nil without View.Shares, and for lasting jobs

	// These are estimates, updated by the method estimate.
	workMS              []float64 // work time of a task at full speed, by step
	objective, pathLeft int64     // ms; pathLeft is the length of the remaining critical path
	workLeft            float64   // remaining work, thousandths of a core times ms
	fillerWork          []fillerWork
	workTimeVersion     uint64 // View.WorkTimeVersion at the last update

	lastEndedAt int64 // when the last run ended, Unix ms; 0 if none did
	images      []int // by step

	runs         []taskRun                          // active runs, by task
	lastOfStep   map[rudderfork.VMID][]queue.RunKey // by VM, the runs of fillers that are among the last of their step
	waiting      []waitingStep                      // steps with tasks that have no run; empty if the job's status is final
	shortRunning ShortTasks                         // running short tasks
	allowsCopies bool                               // a step allows speculative copies
	cpuMilli     float64                            // processors of all active runs, thousandths of a core
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
	readyAt          int64 // when the step becomes or became ready, Unix ms; only valid if dependenciesDone
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
		js := pl.readJob(p, live[old.job.ID])
		if js == nil {
			delete(pl.jobs, old.job.ID)
			continue
		}
		list = append(list, js)
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

// readJob reads a job if it has changed. j is nil if the job is no longer live; readJob then
// returns nil.
func (pl *Planner) readJob(p *pass, j *queue.Job) *jobState {
	if j == nil {
		return nil
	}
	js := pl.jobs[j.ID]
	if js == nil || js.job != j || js.changes != j.Changes() {
		js = p.newJobState(j)
		pl.jobs[j.ID] = js
	} else if js.workTimeVersion != p.view.WorkTimeVersion {
		js.estimate(p)
	}
	return js
}

// newJobState reads a job.
func (p *pass) newJobState(j *queue.Job) *jobState {
	q := p.state.CurrentQueue(j)
	js := &jobState{job: j, changes: j.Changes(), queue: q, objectiveFrom: objectiveFromMS(j), lasting: hasLastingStep(j)}
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		js.images = append(js.images, p.images.number(st.Image))
		js.allowsCopies = js.allowsCopies || st.Speculative && !st.Gang && !st.Lasting
	}
	js.group = p.groups.of(js)
	js.estimate(p)
	for occurrence, o := range j.Occurrences {
		for step := range o.Steps {
			js.readStep(queue.StepKey{Job: j.ID, Occurrence: occurrence, Step: step}, o.Steps[step])
		}
	}
	js.readRuns()
	return js
}

// estimate updates the estimates that depend on expected work times.
func (js *jobState) estimate(p *pass) {
	j := js.job
	js.workMS, js.workTimeVersion = p.view.WorkTime.estimates(js.queue, j, openOccurrence(j)), p.view.WorkTimeVersion
	js.objective, js.pathLeft, js.workLeft = objectiveMS(js.queue, j, js.workMS), pathLeftMS(j, js.workMS), workLeft(j, js.workMS)
	js.fillerWork = js.fillerWork[:0]
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if !st.Filler {
			continue
		}
		left := 0
		for _, o := range j.Occurrences {
			left += o.Remaining[i]
		}
		js.fillerWork = append(js.fillerWork, fillerWork{js.images[i], expectedWork(st, js.workMS[i], left)})
	}
}

// readStep reads the runs and the waiting tasks of one occurrence of a step.
func (js *jobState) readStep(key queue.StepKey, tasks []queue.Task) {
	waiting := 0
	for index := range tasks {
		t := &tasks[index]
		js.lastEndedAt = max(js.lastEndedAt, t.EndedAt)
		if lacksRun(t) {
			waiting++
		}
		for _, r := range t.Runs {
			k := queue.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: index}
			js.runs = append(js.runs, taskRun{k, t, r})
		}
	}
	if waiting > 0 && !js.job.Status.Final() {
		js.waiting = append(js.waiting, js.waitingStep(key, waiting))
	}
}

// readRuns records which runs are among the last of their steps, and counts short tasks.
func (js *jobState) readRuns() {
	js.lastOfStep = map[rudderfork.VMID][]queue.RunKey{}
	for i := range js.runs {
		r := &js.runs[i]
		st := &js.job.Spec.Steps[r.key.Step]
		js.cpuMilli += float64(st.Size.CPUMilli)
		if !js.job.Status.Final() && js.isNearlyDone(r.key.StepKey()) {
			js.lastOfStep[r.run.VM] = append(js.lastOfStep[r.run.VM], r.key.Run(r.run.Number))
		}
		if kindOf(st) == Short {
			js.shortRunning.Running++
			js.shortRunning.CPUMilli += st.Size.CPUMilli
		}
	}
}

// lacksRun reports whether a task is not done and has no run.
func lacksRun(t *queue.Task) bool { return !t.Done && len(t.Runs) == 0 }

// waitingStep returns a step that waits. It becomes ready when the job is submitted, the
// occurrence is due and the last task of the steps it depends on has ended.
func (js *jobState) waitingStep(key queue.StepKey, tasks int) waitingStep {
	o := js.job.Occurrences[key.Occurrence]
	st := js.job.Spec.Steps[key.Step]
	w := waitingStep{StepKey: key, tasks: tasks, dependenciesDone: o.StepReady(st), readyAt: max(js.job.SubmittedAt, o.DueMS)}
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
	for i, js := range p.jobs {
		list[i] = ranked{js, js.rank(p.view.Now)}
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
