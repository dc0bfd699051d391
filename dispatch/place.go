package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// taskClass is what the tasks of one occurrence of a step have in common. They differ only
// in where they run, where they have failed, and whether they are suspects.
type taskClass struct {
	js      *jobState
	job     *queue.Job
	key     queue.StepKey
	step    *queue.Step
	tasks   []queue.Task
	need    rudderfork.Resources
	image   int
	readyAt int64                      // when the step became ready, Unix ms; 0 if not set
	advised bool                       // the queue has an adviser
	tickets map[rudderfork.VMID]string // by VM that may run the step, if advised
}

func (p *pass) classOf(js *jobState, key queue.StepKey) *taskClass {
	st := &js.job.Spec.Steps[key.Step]
	return &taskClass{
		js: js, job: js.job, key: key, step: st, tasks: js.job.Occurrences[key.Occurrence].Steps[key.Step],
		need: st.Need(), image: js.images[key.Step],
		advised: js.queue.Advice != nil, tickets: p.view.Tickets[key],
	}
}

func (cl *taskClass) task(index int) queue.TaskKey {
	return queue.TaskKey{Job: cl.key.Job, Occurrence: cl.key.Occurrence, Step: cl.key.Step, Index: index}
}

// runsOn reports whether a task has a run on a VM.
func (cl *taskClass) runsOn(k queue.TaskKey, v *vmState) bool {
	return cl.tasks[k.Index].RunsOn(v.vm.ID)
}

// candidates are the VMs for the tasks of a class, with their costs.
type candidates struct {
	class    *taskClass
	rack     string    // the only rack allowed, or "" for all
	costs    []float64 // by VM; +Inf if it is not feasible
	feasible int       // number of VMs with a finite cost
}

// findCandidates returns the candidates for a class, in one rack unless that is "".
func (p *pass) findCandidates(cl *taskClass, rack string) candidates {
	c := candidates{class: cl, rack: rack, costs: p.costs}
	if p.unmet.rulesOut(cl.requirement(noImage)) {
		for i := range c.costs {
			c.costs[i] = math.Inf(1)
		}
		return c
	}
	for i, v := range p.vms {
		c.costs[i] = p.candidateCost(&c, v)
		if !math.IsInf(c.costs[i], 1) {
			c.feasible++
		}
	}
	if c.feasible == 0 && rack == "" {
		p.unmet.add(cl, cl.requirement(noImage))
	}
	return c
}

// updateCost computes the cost of a VM again after a start there.
func (p *pass) updateCost(c *candidates, v *vmState) {
	i := p.vmIndex[v.vm.ID]
	c.costs[i] = p.candidateCost(c, v)
	if math.IsInf(c.costs[i], 1) {
		c.feasible--
	}
}

func (p *pass) candidateCost(c *candidates, v *vmState) float64 {
	if c.rack != "" && v.vm.Rack != c.rack || !p.isFeasible(c.class, v) {
		return math.Inf(1)
	}
	return p.cost(c.class, v)
}

// chooseVM returns the candidate with the lowest cost for a task, with the reason, or nil
// if there is none.
func (p *pass) chooseVM(c *candidates, k queue.TaskKey) (v *vmState, reason string) {
	best, least := -1, math.Inf(1)
	for i, cost := range c.costs {
		if cost >= least {
			continue
		}
		cost += p.failedCost(k, p.vms[i])
		if cost < least && !c.class.runsOn(k, p.vms[i]) {
			best, least = i, cost
		}
	}
	if best < 0 {
		return nil, ""
	}
	return p.vms[best], fmt.Sprintf("least cost %.2f of %d VMs that can take it", least, c.feasible)
}

// isFeasible reports whether a VM can take another task of a class in this plan. If not,
// rejectReason says why.
func (p *pass) isFeasible(cl *taskClass, v *vmState) bool {
	if !v.schedulable || !cl.need.Fits(v.free) || v.vm.Service != cl.js.queue.Service || !v.vm.HasLabel(cl.step.Label) {
		return false
	}
	if cl.advised && cl.tickets[v.vm.ID] == "" {
		return false
	}
	return cl.step.MaxPerVM == 0 || p.onVM(cl, v) < cl.step.MaxPerVM
}

// onVM counts the tasks of one occurrence of a step that run on a VM or are planned
// to start there.
func (p *pass) onVM(cl *taskClass, v *vmState) int {
	n := p.placed[stepOnVM{cl.key, v.vm.ID}]
	for i := range v.runs {
		if v.runs[i].key.StepKey() == cl.key {
			n++
		}
	}
	return n
}

// unmetList holds requirements for which a plan has found no VM. Starts only use up
// capacity, so a requirement that is at least as demanding has no VM either.
type unmetList []requirement

// requirement is what tasks need of a VM.
type requirement struct {
	service rudderfork.Service
	label   string
	need    rudderfork.Resources
	// image and cpu are the image and CPU use, in thousandths of a core, of fillers that
	// need at least minStartSpeed. image is noImage for tasks that need only capacity.
	image int
	cpu   int64
}

func (cl *taskClass) requirement(image int) requirement {
	return requirement{cl.js.queue.Service, cl.step.Label, cl.need, image, cl.step.Size.CPUMilli}
}

// impliedBy reports whether every VM that meets o also meets w.
func (w requirement) impliedBy(o requirement) bool {
	return w.service == o.service && w.label == o.label && w.image == o.image && w.need.Fits(o.need) && (w.image == noImage || w.cpu <= o.cpu)
}

// rulesOut reports whether it is known that no VM meets a requirement.
func (s unmetList) rulesOut(w requirement) bool {
	return slices.ContainsFunc(s, func(known requirement) bool { return known.impliedBy(w) })
}

// add records that no VM meets a requirement of a class. It records nothing if MaxPerVM or
// missing tickets, which other classes do not share, may be the cause.
func (s *unmetList) add(cl *taskClass, w requirement) {
	if cl.step.MaxPerVM > 0 || cl.advised {
		return
	}
	*s = append(slices.DeleteFunc(*s, w.impliedBy), w)
}

// cannotStart reports whether it is known, without computing candidates, that a class
// starts nothing in this plan.
func (p *pass) cannotStart(cl *taskClass) bool {
	if cl.advised {
		return false // its adviser may be asked
	}
	return p.unmet.rulesOut(cl.requirement(noImage)) || cl.step.Filler && p.isSlowEverywhere(cl) && !p.mayStartSlow(cl)
}

// isSlowEverywhere reports whether fillers of a class are known to be too slow on every
// feasible VM.
func (p *pass) isSlowEverywhere(cl *taskClass) bool {
	return p.unmet.rulesOut(cl.requirement(cl.image))
}

// recordSlowEverywhere records that fillers of a class are too slow on every feasible
// VM, if that is so.
func (p *pass) recordSlowEverywhere(cl *taskClass) {
	if p.isSlowEverywhere(cl) || slices.ContainsFunc(p.vms, func(v *vmState) bool { return p.canRunWell(cl, v) }) {
		return
	}
	p.unmet.add(cl, cl.requirement(cl.image))
}

// maxAdviceVMs bounds the number of VMs in one request to an adviser, so that jobs can meet
// their objectives despite the duration of the call. It does not limit the rate of requests.
const maxAdviceVMs = 30

// requestAdvice asks for tickets for a step that found no VM, on the VMs that lack only
// a ticket.
func (p *pass) requestAdvice(cl *taskClass, k queue.TaskKey) {
	if !cl.advised {
		return
	}
	unadvised := *cl
	unadvised.advised = false
	type option struct {
		vm    rudderfork.VMID
		asked time.Time // when the adviser last gave no ticket
		cost  float64
	}
	var options []option
	for _, v := range p.vms {
		if p.isFeasible(&unadvised, v) && cl.tickets[v.vm.ID] == "" && !cl.runsOn(k, v) {
			options = append(options, option{v.vm.ID, p.view.NoTicketAt[cl.key][v.vm.ID], p.cost(&unadvised, v) + p.failedCost(k, v)})
		}
	}
	if len(options) == 0 {
		return
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Or(a.asked.Compare(b.asked), cmp.Compare(a.cost, b.cost)) })
	request := AdviceRequest{Step: cl.key}
	for _, o := range options[:min(len(options), maxAdviceVMs)] {
		request.VMs = append(request.VMs, o.vm)
	}
	p.plan.AdviceRequests = append(p.plan.AdviceRequests, request)
}
