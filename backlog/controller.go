package backlog

import (
	"math"
	"slices"

	"rudderfork.example/rudderfork"
)

const (
	// certainty is the number of standard deviations of the prediction error, see Errors.Estimate, by
	// which the predicted duration is reduced. For a normal error, one refusal in twenty would be of
	// a job that ends in time to be worth something.
	certainty = 1.64
	// maxSummaryAgeMS is the age of a summary, ms, from which it shows too little of the present
	// load to refuse a job.
	maxSummaryAgeMS = 2_000
	// minRetryMS and maxRetryMS bound the time after which a caller is asked to return, ms. The
	// header has whole seconds. Beyond the maximum, jobs that arrive meanwhile decide the load.
	minRetryMS, maxRetryMS = 1_000, 30_000
	// maxPredictions bounds the number of accepted jobs whose predictions are kept until they end.
	maxPredictions = 20_000
	// maxObserved bounds the number of predictions that one call of ObserveEnds looks at, and so the
	// time for which submissions wait. All are looked at within 20 calls.
	maxObserved = 1_000
)

// Job is a submitted job.
type Job struct {
	ID       rudderfork.JobID
	Queue    string
	Service  rudderfork.Service
	Priority int
	Exempt   bool    // not refused because of load
	Work     float64 // of all steps, see the package
	PathMS   float64 // length of the critical path, ms
	// ObjectiveMS is the time from the submission within which the job is in time, ms. It is only
	// reported.
	ObjectiveMS float64
	// WorthlessMS is the time from the submission after which the job is worth nothing, ms.
	WorthlessMS float64
	Demands     []Demand // by lane
	Sizes       []Size   // by step
}

// AddTasks adds the tasks of a step. free is what a task needs of the free capacity of its lane, and
// total what it takes from a VM's capacity. They differ for fillers, which reserve no processors.
func (j *Job) AddTasks(l Lane, work float64, free, total rudderfork.Resources) {
	j.Sizes = append(j.Sizes, Size{l.Label, total})
	i := slices.IndexFunc(j.Demands, func(d Demand) bool { return d.Lane == l })
	if i < 0 {
		j.Demands = append(j.Demands, Demand{l, work, free})
		return
	}
	j.Demands[i].Work += work
	j.Demands[i].Need = j.Demands[i].Need.Min(free)
}

// Demand is a job's demand in one lane.
type Demand struct {
	Lane Lane
	Work float64
	Need rudderfork.Resources // smallest amounts of free resources that a task needs
}

// limited returns the job with at most the given work, so that the promise to one huge job does not
// keep out all newcomers.
func (j Job) limited(work float64) Job {
	if j.Work <= work {
		return j
	}
	j.Demands = slices.Clone(j.Demands)
	for i := range j.Demands {
		j.Demands[i].Work *= work / j.Work
	}
	j.Work = work
	return j
}

// Size says what a VM must have to run a task.
type Size struct {
	Label string
	Need  rudderfork.Resources
}

// Reason says why a job is refused.
type Reason string

// The reasons.
const (
	Overloaded  Reason = "overloaded"  // it would end too late
	Unplaceable Reason = "unplaceable" // no known VM can hold one of its tasks
)

// Decision is the decision on a submission and what it is based on.
type Decision struct {
	Reason    Reason  // "" if the job is not refused
	EndMS     float64 // predicted time until the job would end, ms
	EarlyMS   float64 // EndMS reduced by the prediction error, ms
	WorkAhead float64 // in the lane that decides
	Rate      float64 // of that lane; 0 if nothing waits ahead
	Mean      float64 // of the queue's prediction errors, see Errors.Estimate
	Early     float64 // the same of the negative errors
	RetryMS   int64   // time after which the caller should return, ms
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason != "" }

// prediction is the prediction of an accepted job.
type prediction struct {
	queue string
	endMS float64
}

// Controller decides on submissions. It is not safe for concurrent use.
type Controller struct {
	summary      *Summary
	shapesSince  int64 // since when the summaries have had the same shapes, Unix ms
	errors       *Errors
	sizes        queueSizes
	refusals     *refusals
	predicted    map[rudderfork.JobID]prediction
	toObserve    []rudderfork.JobID // the keys of predicted, those that were looked at last at the end
	totalRefused uint64
}

// New returns a controller without a summary, which refuses no job.
func New() *Controller {
	return &Controller{errors: NewErrors(), sizes: queueSizes{}, refusals: newRefusals(), predicted: map[rudderfork.JobID]prediction{}}
}

// Errors returns the prediction errors.
func (c *Controller) Errors() *Errors { return c.errors }

// TotalRefused returns the number of refusals.
func (c *Controller) TotalRefused() uint64 { return c.totalRefused }

// SetSummary replaces the summary.
func (c *Controller) SetSummary(s *Summary) {
	if c.summary == nil || c.summary.shapes != s.shapes {
		c.shapesSince = s.at
	}
	c.summary = s
	c.refusals.expire(s.at)
}

// Decide decides on a submission at a time, Unix ms. The job's size counts toward the sizes of its
// queue.
func (c *Controller) Decide(j Job, now int64) (d Decision) {
	sizes := c.sizes.of(j.Queue)
	if c.refusals.get(j.ID) == nil {
		sizes.add(j.Work)
	}
	if c.isUnplaceable(j, now) {
		return Decision{Reason: Unplaceable, RetryMS: maxRetryMS}
	}
	d.Mean, d.Early = c.errors.Estimate(j.Queue, now)
	d.EndMS = j.PathMS
	if c.summary == nil || j.Exempt {
		return d
	}
	for _, demand := range j.Demands {
		c.predict(j, demand, now, &d)
	}
	factor := math.Exp(-certainty * d.Early)
	d.EarlyMS = d.EndMS * factor
	if d.Rate > 0 && d.EarlyMS > j.WorthlessMS && now-c.summary.at <= maxSummaryAgeMS && sizes.mayRefuse(j.Work) {
		d.Reason = Overloaded
		d.RetryMS = c.retryMS(j, now, d.EndMS-j.WorthlessMS/factor)
	}
	return d
}

// retryMS returns the time after which the caller of a job should return, ms. wait is the time, ms,
// until so much of the work ahead is done that the job would be accepted.
func (c *Controller) retryMS(j Job, now int64, wait float64) int64 {
	if ref := c.refusals.get(j.ID); ref != nil && now < ref.returnAt {
		return wholeSeconds(max(minRetryMS, float64(ref.returnAt-now))) // it came too early
	}
	return wholeSeconds(min(maxRetryMS, max(minRetryMS, wait, float64(c.refusals.lastReturn(j, now)-now))))
}

func wholeSeconds(ms float64) int64 {
	const second = 1_000
	return int64(math.Ceil(ms/second)) * second
}

// predict raises the predicted end of d to that in a lane. While nothing waits there, the lane does
// not delay the job.
func (c *Controller) predict(j Job, demand Demand, now int64, d *Decision) {
	q := c.summary.Lane(demand.Lane)
	if q == nil || q.Waiting == 0 || q.Free.Hold(demand.Need) || q.Rate <= 0 {
		return // a rate of 0 is one that is not known, as under a new leader
	}
	ahead := q.workAhead(j.Priority, j.Work) + c.refusals.workAhead(demand.Lane, j, now)
	// The job's own work is left out: a job is not refused for being large.
	if end := ahead/q.Rate + j.PathMS; end > d.EndMS {
		d.EndMS, d.WorkAhead, d.Rate = end, ahead, q.Rate
	}
}

// isUnplaceable reports whether no known VM can hold one of the job's tasks. It does not as long as
// the VMs have not been the same for the time in which the job is worth something: VMs register
// one after the other, and a new one may come in time.
func (c *Controller) isUnplaceable(j Job, now int64) bool {
	if c.summary == nil || float64(now-c.shapesSince) < j.WorthlessMS {
		return false
	}
	for _, s := range j.Sizes {
		if !c.summary.shapes.CanHold(j.Service, s.Label, s.Need) {
			return true
		}
	}
	return false
}

// Refuse records that the caller of a job was told to return.
func (c *Controller) Refuse(j Job, d Decision, now int64) {
	c.totalRefused++
	if d.Reason == Overloaded {
		sizes := c.sizes.of(j.Queue)
		if c.refusals.get(j.ID) == nil {
			sizes.refuse(j.Work)
		}
		c.refusals.add(j.limited(sizes.largeLimit()), now, now+d.RetryMS)
	}
}

// Accept records that a job is accepted, with the decision on it.
func (c *Controller) Accept(j Job, d Decision, now int64) {
	c.refusals.remove(j.ID, now)
	if j.Exempt || !(d.EndMS > 0) || len(c.predicted) >= maxPredictions {
		return
	}
	if _, known := c.predicted[j.ID]; !known {
		c.toObserve = append(c.toObserve, j.ID)
	}
	c.predicted[j.ID] = prediction{j.Queue, d.EndMS}
}

// Progress is what has become of an accepted job.
type Progress struct {
	Ended  bool    // or unknown
	TookMS float64 // time from its submission until it was completed, ms; 0 if it was not completed
}

// ObserveEnds compares the predictions of the jobs that have ended with their durations. It looks at
// no more than maxObserved jobs, in turn, and returns the errors.
func (c *Controller) ObserveEnds(progress func(rudderfork.JobID) Progress, now int64) (list []ObservedError) {
	n := min(maxObserved, len(c.toObserve))
	for _, id := range c.toObserve[:n] {
		got := progress(id)
		if !got.Ended {
			c.toObserve = append(c.toObserve, id)
			continue
		}
		p := c.predicted[id]
		delete(c.predicted, id)
		if got.TookMS > 0 {
			list = append(list, ObservedError{id, p.queue, math.Log(got.TookMS / p.endMS)})
		}
	}
	c.toObserve = c.toObserve[n:]
	for _, e := range list {
		c.errors.Observe(e.Queue, e.Log, now)
	}
	return list
}

// ObservedError is the prediction error of one job.
type ObservedError struct {
	Job   rudderfork.JobID
	Queue string
	Log   float64 // logarithm of the observed over the predicted duration
}
