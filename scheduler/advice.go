package scheduler

import (
	"context"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
)

const (
	// adviceTimeout bounds one call to the adviser. A call takes longer the more VMs it names.
	adviceTimeout = 5 * time.Second
	// adviceBackOff is the pause between an adviser's answer and the next call for the same step.
	adviceBackOff = 300 * time.Millisecond
	// defaultTicketValidity is how long a ticket is valid if the queue's settings do not say so.
	defaultTicketValidity = time.Second
)

// advice holds the tickets that the adviser has given; a ticket is its permission to run a step
// on a VM. It is guarded by the scheduler's mu.
type advice struct {
	steps       map[queue.StepKey]*stepTickets
	callRunning bool // a call is in progress; the adviser handles one call of a process at a time
}

// stepTickets holds the tickets of one step.
type stepTickets struct {
	tickets    map[rudderfork.VMID]ticket
	noTicketAt map[rudderfork.VMID]time.Time // when the adviser last gave no ticket for a VM
	nextCallAt time.Time                     // earliest time of the next call for the step
}

func newStepTickets() *stepTickets {
	return &stepTickets{tickets: map[rudderfork.VMID]ticket{}, noTicketAt: map[rudderfork.VMID]time.Time{}}
}

// ticket is an adviser's ticket. It is valid for one incarnation of a VM's executor.
type ticket struct {
	text        string // as the adviser issued it
	incarnation string
	until       time.Time
}

func newAdvice() *advice { return &advice{steps: map[queue.StepKey]*stepTickets{}} }

// recordNoTickets records the VMs for which a ticket was requested and none was issued. Which VMs
// may run a step does not change, but an answer may be wrong, so tickets for these VMs are
// requested again after those for all others. requested and tickets are keyed by incarnation.
func (st *stepTickets) recordNoTickets(requested map[string]rudderfork.VMID, tickets map[string]string, now time.Time) {
	for inc, vm := range requested {
		if _, ok := tickets[inc]; !ok {
			st.noTicketAt[vm] = now
		}
	}
}

// noTicketTimes returns when the adviser last gave no ticket, by step and VM.
func (a *advice) noTicketTimes() map[queue.StepKey]map[rudderfork.VMID]time.Time {
	all := map[queue.StepKey]map[rudderfork.VMID]time.Time{}
	for k, st := range a.steps {
		all[k] = st.noTicketAt
	}
	return all
}

// view returns the valid tickets by step and VM. It drops the steps of jobs that have ended.
func (a *advice) view(s *queue.State, now time.Time) map[queue.StepKey]map[rudderfork.VMID]string {
	all := map[queue.StepKey]map[rudderfork.VMID]string{}
	for k, st := range a.steps {
		if s.Live()[k.Job] == nil {
			delete(a.steps, k)
			continue
		}
		valid := map[rudderfork.VMID]string{}
		for id, t := range st.tickets {
			if vm := s.VM(id); vm != nil && vm.Incarnation == t.incarnation && now.Before(t.until) {
				valid[id] = t.text
			}
		}
		all[k] = valid
	}
	return all
}

// dropTicket drops a ticket that an executor did not accept.
func (a *advice) dropTicket(k queue.StepKey, vm rudderfork.VMID) {
	if st := a.steps[k]; st != nil {
		delete(st.tickets, vm)
	}
}

// requestAdvice starts a call for the due request whose step has waited longest, unless a call is
// in progress.
func (s *Scheduler) requestAdvice(reqs []dispatch.AdviceRequest) {
	if s.adviser == nil {
		return
	}
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.fleet.advice
	slices.SortStableFunc(reqs, func(x, y dispatch.AdviceRequest) int { return a.nextCallAt(x.Step).Compare(a.nextCallAt(y.Step)) })
	for _, req := range reqs {
		if a.callRunning || now.Before(a.nextCallAt(req.Step)) {
			continue
		}
		if a.steps[req.Step] == nil {
			a.steps[req.Step] = newStepTickets()
		}
		a.callRunning = true
		go s.advise(a, req)
	}
}

// nextCallAt returns the earliest time of the next call for a step, or the zero time if no call was
// made for it.
func (a *advice) nextCallAt(k queue.StepKey) time.Time {
	if st := a.steps[k]; st != nil {
		return st.nextCallAt
	}
	return time.Time{}
}

// advise makes one call and stores the tickets in its answer.
func (s *Scheduler) advise(a *advice, req dispatch.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	vms, incarnations, validity := s.incarnationsOf(req)
	began := steady.Now()
	tickets, err := s.adviser.Advise(ctx, req.Step.String(), incarnations)
	now := steady.Now()
	s.log.Info().Str("step", req.Step.String()).Int("asked", len(incarnations)).Int("good", len(tickets)).
		Dur("took", now.Sub(began)).AnErr("error", err).Msg("adviser_asked")
	s.mu.Lock()
	defer s.mu.Unlock()
	a.callRunning = false
	st := a.steps[req.Step]
	if st == nil {
		return // the job has ended
	}
	st.nextCallAt = now.Add(adviceBackOff)
	if err == nil {
		st.recordNoTickets(vms, tickets, now)
	}
	for inc, text := range tickets {
		// A ticket is valid for a time that begins with the adviser's answer. Counting from
		// the start of the call is on the safe side.
		st.tickets[vms[inc]] = ticket{text, inc, began.Add(validity)}
	}
	s.roundDue.Set()
}

// incarnationsOf returns the incarnations of the VMs that a request names, their VMs by
// incarnation, and how long tickets of the step's queue are valid.
func (s *Scheduler) incarnationsOf(req dispatch.AdviceRequest) (vms map[string]rudderfork.VMID, incarnations []string, validity time.Duration) {
	vms, validity = map[string]rudderfork.VMID{}, defaultTicketValidity
	s.rep.View(func(st *state.State) {
		for _, id := range req.VMs {
			if vm := st.Queues().VM(id); vm != nil {
				vms[vm.Incarnation] = id
				incarnations = append(incarnations, vm.Incarnation)
			}
		}
		j := st.Queues().Job(req.Step.Job)
		if j == nil {
			return
		}
		if adv := st.Queues().CurrentQueue(j).Advice; adv != nil && adv.ValidMS > 0 {
			validity = time.Duration(adv.ValidMS) * time.Millisecond
		}
	})
	return vms, incarnations, validity
}
