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

// taskClass is what the tasks of a step, of one time, have in common. They differ only
// in where they run or have failed.
type taskClass struct {
	state   *jobState
	job     *queue.Job
	key     queue.StepKey
	step    *queue.Step
	tasks   []queue.Task
	need    rudderfork.Resources
	image   int
	readyAt int64 // when the step's turn came, Unix ms; 0 if that does not matter
	advised bool
	tickets map[rudderfork.VMID]string // of the VMs that may run it, where advised
}

func (p *pass) classOf(n *jobState, key queue.StepKey) *taskClass {
	st := &n.job.Spec.Steps[key.Step]
	return &taskClass{
		state: n, job: n.job, key: key, step: st, tasks: n.job.Occurrences[key.Occurrence].Steps[key.Step],
		need: st.Need(), image: n.images[key.Step],
		advised: n.row.Advice != nil, tickets: p.view.Tickets[key],
	}
}

func (cl *taskClass) task(index int) queue.TaskKey {
	return queue.TaskKey{Job: cl.key.Job, Occurrence: cl.key.Occurrence, Step: cl.key.Step, Index: index}
}

// runsOn reports whether a run of a task is on a VM.
func (cl *taskClass) runsOn(k queue.TaskKey, v *vmState) bool {
	return cl.tasks[k.Index].RunsOn(v.vm.ID)
}

// candidates are the VMs that can take a task of a class, with their costs.
type candidates struct {
	class    *taskClass
	rack     string    // the only one that counts, or "" for all
	costs    []float64 // by VM; +Inf for those that cannot take it
	feasible int
}

// weigh returns the candidates for a class.
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

// weighAgain renews what a start has changed.
func (p *pass) updateCost(c *candidates, v *vmState) {
	i := p.at[v.vm.ID]
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

// choose returns the VM with the least cost for a task, and why; nil if none can
// take it.
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

// able reports whether a VM can take a further task of a class in this plan. What
// keeps it from that, obstacle says in words.
func (p *pass) isFeasible(cl *taskClass, v *vmState) bool {
	if !v.schedulable || !cl.need.Fits(v.free) || v.vm.Service != cl.state.row.Service || !v.vm.HasLabel(cl.step.Label) {
		return false
	}
	if cl.advised && cl.tickets[v.vm.ID] == "" {
		return false
	}
	return cl.step.MaxPerVM == 0 || p.onVM(cl, v) < cl.step.MaxPerVM
}

// onVM counts the tasks of a step, of one time, that run on a VM or are to start
// there.
func (p *pass) onVM(cl *taskClass, v *vmState) int {
	n := p.placed[stepOnVM{cl.key, v.vm.ID}]
	for i := range v.runs {
		if v.runs[i].key.StepKey() == cl.key {
			n++
		}
	}
	return n
}

// shortage is what has found no place in a plan. Starts only take room, so whatever
// needs no less will not find any either.
type unmetList []requirement

// want is what tasks need of a VM of a service.
type requirement struct {
	service rudderfork.Service
	label   string
	need    rudderfork.Resources
	// image is of fillers that are not to crawl, and cpu what they use, in
	// thousandths of a core; noImage for tasks that need room alone.
	image int
	cpu   int64
}

func (cl *taskClass) requirement(image int) requirement {
	return requirement{cl.state.row.Service, cl.step.Label, cl.need, image, cl.step.Size.CPUMilli}
}

// within reports whether whatever satisfies o satisfies w too.
func (w requirement) impliedBy(o requirement) bool {
	return w.service == o.service && w.label == o.label && w.image == o.image && w.need.Fits(o.need) && (w.image == noImage || w.cpu <= o.cpu)
}

// covers reports whether it is known that nothing satisfies a want.
func (s unmetList) rulesOut(w requirement) bool {
	return slices.ContainsFunc(s, func(lack requirement) bool { return lack.impliedBy(w) })
}

// note notes that nothing satisfies what a class wants, where that is not due to its
// own rules.
func (s *unmetList) add(cl *taskClass, w requirement) {
	if cl.step.MaxPerVM > 0 || cl.advised {
		return
	}
	*s = append(slices.DeleteFunc(*s, w.impliedBy), w)
}

// hopeless reports whether it is known without weighing that a class starts nothing
// in this plan.
func (p *pass) cannotStart(cl *taskClass) bool {
	if cl.advised {
		return false // its adviser may be asked
	}
	return p.unmet.rulesOut(cl.requirement(noImage)) || cl.step.Filler && p.isSlowEverywhere(cl) && !p.mayStartSlow(cl)
}

// crawls reports whether a filler is known to be slow wherever there is room for it.
func (p *pass) isSlowEverywhere(cl *taskClass) bool {
	return p.unmet.rulesOut(cl.requirement(cl.image))
}

// noteSlow notes that a filler crawls wherever there is room for it, if it does.
func (p *pass) recordSlowEverywhere(cl *taskClass) {
	if p.isSlowEverywhere(cl) || slices.ContainsFunc(p.vms, func(v *vmState) bool { return p.canRunWell(cl, v) }) {
		return
	}
	p.unmet.add(cl, cl.requirement(cl.image))
}

// maxAsked is how many VMs an adviser is asked about at once for one step: what the
// users' objectives allow time for. It is no rate of the fleet's.
const maxAdviceVMs = 30

// askFor wants an adviser's leave for a step that has no place, on the VMs that
// could take it otherwise.
func (p *pass) requestAdvice(cl *taskClass, k queue.TaskKey) {
	if !cl.advised {
		return
	}
	free := *cl
	free.advised = false
	type option struct {
		vm    rudderfork.VMID
		asked time.Time // last, in vain
		cost  float64
	}
	var options []option
	for _, v := range p.vms {
		if p.isFeasible(&free, v) && cl.tickets[v.vm.ID] == "" && !cl.runsOn(k, v) {
			options = append(options, option{v.vm.ID, p.view.NoTicketAt[cl.key][v.vm.ID], p.cost(&free, v) + p.failedCost(k, v)})
		}
	}
	if len(options) == 0 {
		return
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Or(a.asked.Compare(b.asked), cmp.Compare(a.cost, b.cost)) })
	ask := AdviceRequest{Step: cl.key}
	for _, o := range options[:min(len(options), maxAdviceVMs)] {
		ask.VMs = append(ask.VMs, o.vm)
	}
	p.plan.AdviceRequests = append(p.plan.AdviceRequests, ask)
}
