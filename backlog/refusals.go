package backlog

import (
	"cmp"
	"container/list"
	"slices"

	"rudderfork.example/rudderfork"
)

const (
	// maxRefusals bounds the number of refused jobs that are remembered.
	maxRefusals = 4_096
	// returnGraceMS is how long after its promised time a caller is still expected, ms: times of
	// Retry-After are whole seconds.
	returnGraceMS = 1_000
	// maxReturns bounds the number of returns from which the share of kept ones is estimated. Older
	// ones are discounted, because callers differ in how long they keep trying.
	maxReturns = 64
)

// refusal is a refused job whose caller was promised a time to return.
type refusal struct {
	id       rudderfork.JobID
	firstAt  int64 // arrival of the first submission, Unix ms
	returnAt int64 // promised time of return, Unix ms
	expected bool  // the caller may still return in time
	queue    string
	priority int
	demands  []Demand
}

// promises are the refused jobs with work in one lane whose callers may still return in time.
type promises struct {
	list []promise       // by returnAt
	work map[int]float64 // their work, by priority
}

type promise struct {
	*refusal

	work float64
}

func (p *promises) add(ref *refusal, work float64) {
	p.list = slices.Insert(p.list, p.firstAt(ref.returnAt), promise{ref, work})
	p.work[ref.priority] += work
}

func (p *promises) remove(ref *refusal, work float64) {
	i := p.firstAt(ref.returnAt)
	for p.list[i].refusal != ref {
		i++
	}
	p.list = slices.Delete(p.list, i, i+1)
	p.work[ref.priority] -= work
}

// firstAt returns the index of the first return that is promised for a time, Unix ms, or later.
func (p *promises) firstAt(at int64) int {
	i, _ := slices.BinarySearchFunc(p.list, at, func(o promise, at int64) int { return cmp.Compare(o.returnAt, at) })
	return i
}

// removeBefore removes and returns the returns that were promised for times before at, Unix ms.
func (p *promises) removeBefore(at int64) (removed []promise) {
	n := p.firstAt(at)
	removed = slices.Clone(p.list[:n])
	for _, o := range removed {
		p.work[o.priority] -= o.work
	}
	p.list = slices.Delete(p.list, 0, n)
	return removed
}

// before returns the work of jobs of at least a priority which arrived before firstAt, Unix ms. It
// leaves out one job, if own is not nil.
func (p *promises) before(priority int, firstAt int64, own *refusal) (work float64) {
	for _, o := range p.list {
		if o.priority <= priority && o.firstAt <= firstAt && o.refusal != own {
			work += o.work
		}
	}
	return work
}

// all returns the work of jobs of at least a priority.
func (p *promises) all(priority int) (work float64) {
	for of, w := range p.work {
		if of <= priority {
			work += w
		}
	}
	return work
}

// lastReturn returns the latest promised return, Unix ms, of a job of a queue which arrived before
// firstAt, or 0.
func (p *promises) lastReturn(queue string, firstAt int64) int64 {
	for i := len(p.list) - 1; i >= 0; i-- {
		if o := p.list[i]; o.queue == queue && o.firstAt < firstAt {
			return o.returnAt
		}
	}
	return 0
}

// refusals remembers the refused jobs.
type refusals struct {
	byID     map[rudderfork.JobID]*list.Element // of *refusal
	order    *list.List                         // the oldest first
	promises map[Lane]*promises                 // by lane; none is empty

	kept, missed float64 // numbers of returns in time and of others
}

func newRefusals() *refusals {
	return &refusals{byID: map[rudderfork.JobID]*list.Element{}, order: list.New(), promises: map[Lane]*promises{}}
}

// get returns the refusal of a job, or nil.
func (r *refusals) get(id rudderfork.JobID) *refusal {
	if e := r.byID[id]; e != nil {
		ref, _ := e.Value.(*refusal)
		return ref
	}
	return nil
}

// add records a refusal. A job that was refused before keeps its first arrival, and one whose caller
// came too early keeps its promise.
func (r *refusals) add(j Job, now, returnAt int64) {
	ref := r.get(j.ID)
	if ref == nil {
		ref = &refusal{id: j.ID, firstAt: now}
		r.byID[j.ID] = r.order.PushBack(ref)
	}
	if ref.expected && now < ref.returnAt {
		return
	}
	r.stopExpecting(ref, now)
	ref.returnAt, ref.expected, ref.queue, ref.priority, ref.demands = returnAt, true, j.Queue, j.Priority, j.Demands
	for _, d := range j.Demands {
		p := r.promises[d.Lane]
		if p == nil {
			p = &promises{work: map[int]float64{}}
			r.promises[d.Lane] = p
		}
		p.add(ref, d.Work)
	}
	if r.order.Len() > maxRefusals {
		if oldest, ok := r.order.Front().Value.(*refusal); ok {
			r.remove(oldest.id, now)
		}
	}
}

// remove forgets a job.
func (r *refusals) remove(id rudderfork.JobID, now int64) {
	if ref := r.get(id); ref != nil {
		r.stopExpecting(ref, now)
		r.order.Remove(r.byID[id])
		delete(r.byID, id)
	}
}

// stopExpecting drops a caller's promises, because it has returned or its time has passed.
func (r *refusals) stopExpecting(ref *refusal, now int64) {
	if !ref.expected {
		return
	}
	for _, d := range ref.demands {
		p := r.promises[d.Lane]
		if p.remove(ref, d.Work); len(p.list) == 0 {
			delete(r.promises, d.Lane)
		}
	}
	r.count(ref, now)
}

// count counts a return that is not expected any more as kept or missed.
func (r *refusals) count(ref *refusal, now int64) {
	ref.expected = false
	if r.kept+r.missed >= maxReturns {
		r.kept, r.missed = r.kept/2, r.missed/2
	}
	if now <= ref.returnAt+returnGraceMS {
		r.kept++
	} else {
		r.missed++
	}
}

// expire stops expecting the callers whose time has passed.
func (r *refusals) expire(now int64) {
	for l, p := range r.promises {
		// All at once, since removing them one by one is quadratic.
		for _, o := range p.removeBefore(now - returnGraceMS) {
			if o.expected { // not yet counted in another lane
				r.count(o.refusal, now)
			}
		}
		if len(p.list) == 0 {
			delete(r.promises, l)
		}
	}
}

// firstArrival returns when a job arrived first, Unix ms, if its caller has returned as promised.
// Otherwise the job counts as a newcomer, and ok is false.
func (r *refusals) firstArrival(id rudderfork.JobID, now int64) (at int64, ok bool) {
	ref := r.get(id)
	if ref == nil || now < ref.returnAt {
		return now, false
	}
	return ref.firstAt, true
}

// workAhead returns the promised work in a lane that goes before a job: that of jobs of at least its
// priority which arrived earlier. It counts with the share of callers that return as promised.
func (r *refusals) workAhead(l Lane, j Job, now int64) (work float64) {
	p := r.promises[l]
	if p == nil {
		return 0
	}
	own := r.get(j.ID)
	if firstAt, ok := r.firstArrival(j.ID, now); ok {
		work = p.before(j.Priority, firstAt, own)
	} else {
		work = p.all(j.Priority)
		if own != nil && own.expected && own.priority <= j.Priority {
			work -= own.workIn(l)
		}
	}
	return max(0, work) * (r.kept + 1) / (r.kept + r.missed + 2)
}

// lastReturn returns the latest promised return, Unix ms, of an earlier job of the queue of j, or 0.
func (r *refusals) lastReturn(j Job, now int64) (last int64) {
	firstAt, _ := r.firstArrival(j.ID, now)
	for _, d := range j.Demands {
		if p := r.promises[d.Lane]; p != nil {
			last = max(last, p.lastReturn(j.Queue, firstAt))
		}
	}
	return last
}

// workIn returns the work of the refused job in a lane.
func (ref *refusal) workIn(l Lane) float64 {
	if i := slices.IndexFunc(ref.demands, func(d Demand) bool { return d.Lane == l }); i >= 0 {
		return ref.demands[i].Work
	}
	return 0
}
