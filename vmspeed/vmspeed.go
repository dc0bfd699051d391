// Package vmspeed estimates how fast VMs work from the progress of their tasks.
//
// The speed of a VM is relative to the usual: at 0.25 a task takes four times as long. Each run
// has a rate, its progress per work time at full speed. The rate is compared with those of
// tasks of the same step on other VMs and with the step's expected work time. The
// estimate of a VM is the median over its recent runs. Work times within a step differ, and
// some tasks take seven times as long as others, so a VM is called slow only if several of
// its tasks agree.
//
// The reports of one VM have a bounded effect: on its own estimate by maxChange and maxLog,
// and on other VMs by the weight of single runs in medians.
package vmspeed

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// halfLife is the half-life of an estimate without new observations, and runHalfLife that
	// of the progress of a run. VMs are slow for some seconds.
	halfLife    = 4 * time.Second
	runHalfLife = 2 * time.Second
	// taskVar is the variance of the logarithm of a task's work time within its step, and stepVar that
	// of a step's mean around its expected work time; see package worktime.
	taskVar, stepVar = 0.1, 0.2
	// priorVar is the variance of the logarithm of a VM's speed that is assumed without
	// observations.
	priorVar = 0.25
	// priorWeight is the weight of the previous estimate in the median. It exceeds the weight of
	// one run, so that a VM is called slow only if several tasks agree.
	priorWeight = 1.5
	// medianLoss is the variance of a median relative to that of a mean, for normal errors.
	medianLoss = math.Pi / 2
	// maxLog bounds the logarithm of a speed: from an eighth to eight times the usual speed.
	maxLog = 3 * math.Ln2
	// maxChange bounds the change of the logarithm of an estimate by one report of a VM.
	maxChange = math.Ln2
)

// Model holds the estimates of all VMs. It is not safe for concurrent use.
type Model struct {
	vms   map[rudderfork.VMID]*vmEstimate
	steps map[queue.StepKey]*stepRuns
}

// stepRuns is the recent runs of a step.
type stepRuns struct {
	expectedMS float64 // newest expected work time of a whole task, ms
	runs       map[queue.RunKey]*runRate
}

// New returns a model without observations.
func New() *Model {
	return &Model{vms: map[rudderfork.VMID]*vmEstimate{}, steps: map[queue.StepKey]*stepRuns{}}
}

// Progress is what a VM reports of a run.
type Progress struct {
	Run        queue.RunKey
	Percent    int     // of the task's work
	WorkedMS   float64 // work time since the first report, corrected for pacing to full speed, ms
	ExpectedMS float64 // expected work time of the whole task at full speed, ms
}

// Estimate is the estimated speed of a VM.
type Estimate struct {
	Speed  float64 // relative to the usual speed
	StdErr float64 // standard error of the logarithm of Speed
}

// Certain returns a speed that the VM has at most, allowing for one standard error. It is at
// most 1.
func (e Estimate) Certain() float64 { return min(1, e.Speed*math.Exp(e.StdErr)) }

// Observe adds the reported progress of the runs on a VM and updates the VM's estimate. An
// estimate of another incarnation is dropped.
func (m *Model) Observe(vm rudderfork.VMID, incarnation string, list []Progress, at time.Time) {
	v := m.vm(vm, incarnation)
	for _, p := range list {
		m.run(v, p).advance(p, at)
	}
	m.dropOld(v, at)
	v.update(v.samples(at), at)
}

// ObserveEnd adds a run that has completed its task. p.WorkedMS is the work time until the
// end. If the run was never reported, that is the time of the whole task.
func (m *Model) ObserveEnd(vm rudderfork.VMID, incarnation string, p Progress, at time.Time) {
	v := m.vm(vm, incarnation)
	r := m.run(v, p)
	if r.at.IsZero() {
		r.advance(Progress{}, at)
	}
	p.Percent = fullPercent
	r.advance(p, at)
}

// Estimate returns the estimate of a VM. Without observations the speed is 1.
func (m *Model) Estimate(vm rudderfork.VMID, at time.Time) Estimate {
	v := m.vms[vm]
	if v == nil {
		v = &vmEstimate{}
	}
	log, weight := v.faded(at)
	return Estimate{math.Exp(log), math.Sqrt(1 / (weight/(taskVar*medianLoss) + 1/priorVar))}
}

// Prune drops VMs for which known is false.
func (m *Model) Prune(known func(rudderfork.VMID) bool) {
	for id, v := range m.vms {
		if !known(id) {
			m.drop(v)
			delete(m.vms, id)
		}
	}
}

// vm returns the estimate of an incarnation of a VM, a new one if there is none.
func (m *Model) vm(id rudderfork.VMID, incarnation string) *vmEstimate {
	v := m.vms[id]
	if v != nil && v.incarnation == incarnation {
		return v
	}
	if v != nil {
		m.drop(v)
	}
	v = &vmEstimate{incarnation: incarnation, runs: map[queue.RunKey]*runRate{}}
	m.vms[id] = v
	return v
}

// run returns the entry of a run on a VM. It adds one if there is none.
func (m *Model) run(v *vmEstimate, p Progress) *runRate {
	r := v.runs[p.Run]
	if r == nil {
		key := p.Run.StepKey()
		st := m.steps[key]
		if st == nil {
			st = &stepRuns{runs: map[queue.RunKey]*runRate{}}
			m.steps[key] = st
		}
		r = &runRate{vm: v, step: st}
		v.runs[p.Run], st.runs[p.Run] = r, r
	}
	r.step.expectedMS = max(1, p.ExpectedMS)
	return r
}

// drop drops all runs of a VM.
func (m *Model) drop(v *vmEstimate) {
	for k := range v.runs {
		m.dropRun(v, k)
	}
}

func (m *Model) dropRun(v *vmEstimate, k queue.RunKey) {
	st := v.runs[k].step
	delete(v.runs, k)
	delete(st.runs, k)
	if len(st.runs) == 0 {
		delete(m.steps, k.StepKey())
	}
}

// dropOld drops the runs of a VM that have not been reported for long.
func (m *Model) dropOld(v *vmEstimate, at time.Time) {
	for k, r := range v.runs {
		if at.Sub(r.at) > maxRunAge {
			m.dropRun(v, k)
		}
	}
}

// vmEstimate is the estimate of one incarnation of a VM.
type vmEstimate struct {
	incarnation string
	runs        map[queue.RunKey]*runRate
	log         float64   // logarithm of the speed, as of at
	weight      float64   // weight of the runs that it is based on, as of at
	at          time.Time // time of the newest update; zero before the first
}

// faded returns the logarithm of the speed and its weight at a time.
func (v *vmEstimate) faded(at time.Time) (log, weight float64) {
	f := fade(v.at, at, halfLife)
	return v.log * f, v.weight * f
}

// update moves the estimate to the median of samples and the previous estimate.
func (v *vmEstimate) update(list []sample, at time.Time) {
	old, weight := v.faded(at)
	weight = max(weight, sumOf(list))
	log := median(append(list, sample{old, priorWeight}))
	v.log = old + min(maxChange, max(-maxChange, log-old))
	v.weight, v.at = weight, at
}

// fade returns the weight of something observed at a time, which halves in each half-life.
func fade(since, now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(since)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
