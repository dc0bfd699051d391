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
	// adviceTimeout bounds one call, which takes a time for each VM asked about.
	adviceTimeout = 5 * time.Second
	// adviceAgain is how long a step rests after an answer that did not help it.
	adviceAgain = 300 * time.Millisecond
	// defaultTicketValidity is how long a ticket holds where the document does not say.
	defaultTicketValidity = time.Second
)

// advice is the tickets that advisers gave. It is guarded by the scheduler's mu.
type advice struct {
	steps       map[queue.StepKey]*stepTickets
	callRunning bool // an adviser works on one call of a process at a time
}

// stepTickets is what an adviser said of a step.
type stepTickets struct {
	tickets    map[rudderfork.VMID]ticket
	noTicketAt map[rudderfork.VMID]time.Time // when VMs were last asked about in vain
	nextCallAt time.Time                     // not before; adviceAgain after the last answer
}

func newLeave() *stepTickets {
	return &stepTickets{tickets: map[rudderfork.VMID]ticket{}, noTicketAt: map[rudderfork.VMID]time.Time{}}
}

// ticket is valid for one life of a VM, until a time.
type ticket struct {
	text        string
	incarnation string
	until       time.Time
}

func newAdvice() *advice { return &advice{steps: map[queue.StepKey]*stepTickets{}} }

// noteAsked notes the VMs that were asked about in vain. Which VMs may run a step does not
// change, but an answer may be wrong: they are asked about again after the others.
func (l *stepTickets) noteAsked(asked map[string]rudderfork.VMID, good map[string]string, now time.Time) {
	for life, vm := range asked {
		if _, ok := good[life]; !ok {
			l.noTicketAt[vm] = now
		}
	}
}

// askedAt returns when VMs were last asked about in vain, by step.
func (a *advice) askedAt() map[queue.StepKey]map[rudderfork.VMID]time.Time {
	all := map[queue.StepKey]map[rudderfork.VMID]time.Time{}
	for k, l := range a.steps {
		all[k] = l.noTicketAt
	}
	return all
}

// view returns the tickets that are valid, and drops those of steps that are
// over.
func (a *advice) view(s *queue.State, now time.Time) map[queue.StepKey]map[rudderfork.VMID]string {
	all := map[queue.StepKey]map[rudderfork.VMID]string{}
	for k, l := range a.steps {
		if s.Live()[k.Job] == nil {
			delete(a.steps, k)
			continue
		}
		valid := map[rudderfork.VMID]string{}
		for id, t := range l.tickets {
			if vm := s.VM(id); vm != nil && vm.Incarnation == t.incarnation && now.Before(t.until) {
				valid[id] = t.text
			}
		}
		all[k] = valid
	}
	return all
}

// dropTicket forgets a ticket that an executor did not accept.
func (a *advice) dropTicket(k queue.StepKey, vm rudderfork.VMID) {
	if l := a.steps[k]; l != nil {
		delete(l.tickets, vm)
	}
}

// askAdviser sends the first of the asks that is due, unless a call is under way.
func (s *Scheduler) askAdviser(asks []dispatch.AdviceRequest) {
	if s.adviser == nil {
		return
	}
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.fleet.advice
	slices.SortStableFunc(asks, func(x, y dispatch.AdviceRequest) int { return a.askAt(x.Step).Compare(a.askAt(y.Step)) })
	for _, ask := range asks {
		if a.callRunning || now.Before(a.askAt(ask.Step)) {
			continue
		}
		if a.steps[ask.Step] == nil {
			a.steps[ask.Step] = newLeave()
		}
		a.callRunning = true
		go s.advise(a, ask)
	}
}

// askAt is when a step may be asked for: the one that has waited for longest comes first.
func (a *advice) askAt(k queue.StepKey) time.Time {
	if l := a.steps[k]; l != nil {
		return l.nextCallAt
	}
	return time.Time{}
}

// advise makes one call and notes its answer.
func (s *Scheduler) advise(a *advice, ask dispatch.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	lives, names, validity := s.livesOf(ask)
	began := steady.Now()
	tickets, err := s.adviser.Advise(ctx, ask.Step.String(), names)
	now := steady.Now()
	s.log.Info().Str("step", ask.Step.String()).Int("asked", len(names)).Int("good", len(tickets)).
		Dur("took", now.Sub(began)).AnErr("error", err).Msg("adviser_asked")
	s.mu.Lock()
	defer s.mu.Unlock()
	a.callRunning = false
	l := a.steps[ask.Step]
	if l == nil {
		return // the job is over
	}
	l.nextCallAt = now.Add(adviceAgain)
	if err == nil {
		l.noteAsked(lives, tickets, now)
	}
	for life, text := range tickets {
		// It holds from the answer on; the call's begin is surely before that.
		l.tickets[lives[life]] = ticket{text, life, began.Add(validity)}
	}
	s.roundDue.Set()
}

// livesOf returns the lives of the VMs asked about, and how long tickets of the
// step's queue hold.
func (s *Scheduler) livesOf(ask dispatch.AdviceRequest) (vms map[string]rudderfork.VMID, names []string, validity time.Duration) {
	vms, validity = map[string]rudderfork.VMID{}, defaultTicketValidity
	s.rep.View(func(st *state.State) {
		for _, id := range ask.VMs {
			if vm := st.Queues().VM(id); vm != nil {
				vms[vm.Incarnation] = id
				names = append(names, vm.Incarnation)
			}
		}
		j := st.Queues().Job(ask.Step.Job)
		if j == nil {
			return
		}
		if adv := st.Queues().CurrentQueue(j).Advice; adv != nil && adv.ValidMS > 0 {
			validity = time.Duration(adv.ValidMS) * time.Millisecond
		}
	})
	return vms, names, validity
}
