package dispatch

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// jobNote is what a planner has read of a job.
type jobNote struct {
	job     *queue.Job
	changes uint64 // of the job, when it was read
	row     queue.Queue

	asked int64 // ms; rank.go
	lasts bool

	// What follows is expected; expect.
	works      []float64 // of a task, by step, ms
	span, left int64     // ms
	work       float64   // that is left; leftWork
	demand     []fillerWork
	expectedAt uint64 // View.WorktimesAt then

	lastEnd int64 // of a run, Unix ms; 0 for none
	images  []int // by step

	runs    []taskRun                          // active ones, by task
	last    map[rudderfork.VMID][]queue.RunKey // of these, the last of their steps
	waiting []waitingStep                      // with tasks that lack a run; none once it is over
	short   ShortTasks                         // that run
	copied  bool                               // some step allows copies
}

// taskRun is an active run.
type taskRun struct {
	key  queue.TaskKey
	task *queue.Task
	run  queue.Run
}

// waitingStep is a step with tasks that lack a run.
type waitingStep struct {
	queue.StepKey
	tasks   int   // that lack a run
	ready   bool  // the steps before it are done
	readyAt int64 // when its turn comes or came, Unix ms, if it is ready
}

// fillerWork is how much work of one image a job has left, in thousandths of a core
// times ms.
type fillerWork struct {
	image int
	work  float64
}

// readJobs returns the live jobs, those anew that have changed, about in the order of
// the plan before, so that they are soon in order again.
func (pl *Planner) readJobs(p *planner) []*jobNote {
	if doc := p.state.Document(); pl.document != doc {
		pl.jobs, pl.order, pl.document = map[rudderfork.JobID]*jobNote{}, nil, doc
	}
	live := p.state.Live()
	list := make([]*jobNote, 0, len(live))
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
	pl.order = list // which ranked sorts in place
	return list
}

// readJob reads a job if it has changed; nil stands for one that is over.
func (pl *Planner) readJob(p *planner, j *queue.Job) *jobNote {
	if j == nil {
		return nil
	}
	n := pl.jobs[j.ID]
	if n == nil || n.job != j || n.changes != j.Changes() {
		n = p.note(j)
		pl.jobs[j.ID] = n
	} else if n.expectedAt != p.view.WorkTimeVersion {
		n.expect(p)
	}
	return n
}

// note reads a job.
func (p *planner) note(j *queue.Job) *jobNote {
	row := p.state.Row(j)
	n := &jobNote{job: j, changes: j.Changes(), row: row, asked: askedMS(j), lasts: lasting(j)}
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		n.images = append(n.images, p.images.of(st.Image))
		n.copied = n.copied || st.Speculative && !st.Gang && !st.Lasting
	}
	n.expect(p)
	for time, o := range j.Times {
		for step := range o.Steps {
			n.readStep(queue.StepKey{Job: j.ID, Time: time, Step: step}, o.Steps[step])
		}
	}
	n.readRuns()
	return n
}

// expect works out what the job's work may be expected to be.
func (n *jobNote) expect(p *planner) {
	j := n.job
	n.works, n.expectedAt = p.view.WorkTime.of(n.row, j, openTime(j)), p.view.WorkTimeVersion
	n.span, n.left, n.work = objectiveMS(n.row, j, n.works), leftMS(j, n.works), leftWork(j, n.works)
	n.demand = n.demand[:0]
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		if !st.Filler {
			continue
		}
		left := 0
		for _, o := range j.Times {
			left += o.Left[i]
		}
		n.demand = append(n.demand, fillerWork{n.images[i], expectedWork(st, n.works[i], left)})
	}
}

func (n *jobNote) readStep(key queue.StepKey, tasks []queue.Task) {
	waiting := 0
	for index := range tasks {
		t := &tasks[index]
		n.lastEnd = max(n.lastEnd, t.EndedAt)
		if lacksRun(t) {
			waiting++
		}
		for _, r := range t.Runs {
			k := queue.TaskKey{Job: key.Job, Time: key.Time, Step: key.Step, Index: index}
			n.runs = append(n.runs, taskRun{k, t, r})
		}
	}
	if waiting > 0 && !n.job.Status.Final() {
		n.waiting = append(n.waiting, n.waitingStep(key, waiting))
	}
}

// readRuns notes which runs are the last of their steps, and which are of short tasks.
func (n *jobNote) readRuns() {
	n.last = map[rudderfork.VMID][]queue.RunKey{}
	for i := range n.runs {
		r := &n.runs[i]
		st := &n.job.Spec.Steps[r.key.Step]
		if !n.job.Status.Final() && n.isLast(r.key.StepKey()) {
			n.last[r.run.VM] = append(n.last[r.run.VM], r.key.Run(r.run.Number))
		}
		if kindOf(st) == Short {
			n.short.Running++
			n.short.CPUMilli += st.Size.CPUMilli
		}
	}
}

// lacksRun reports whether a task is neither done nor has a run.
func lacksRun(t *queue.Task) bool { return !t.Done && len(t.Runs) == 0 }

// waitingStep notes when the turn of a step came: when it was handed in or falls due,
// and the last task of the steps before it has ended.
func (n *jobNote) waitingStep(key queue.StepKey, tasks int) waitingStep {
	o := n.job.Times[key.Time]
	st := n.job.Spec.Steps[key.Step]
	w := waitingStep{StepKey: key, tasks: tasks, ready: o.StepReady(st), readyAt: max(n.job.SubmittedAt, o.DueMS)}
	for _, before := range st.DependsOn {
		for i := range o.Steps[before] {
			w.readyAt = max(w.readyAt, o.Steps[before][i].EndedAt)
		}
	}
	return w
}

// ranked returns the live jobs, first things first.
func (p *planner) ranked() []*jobNote {
	type ranked struct {
		note *jobNote
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
		return cmp.Compare(a.note.job.ID, b.note.job.ID)
	})
	for i, r := range list {
		p.jobs[i] = r.note
	}
	return p.jobs
}
