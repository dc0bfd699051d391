package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// simPlanInterval is the simulated time between two plans.
	simPlanInterval = 100 * time.Millisecond
	// simStartupTime is how long a lasting task takes to reach 100 percent.
	simStartupTime = time.Second
	// simStartUnix is the simulated time at the start of a test, Unix s.
	simStartUnix = 1_000_000
)

// executorHealth is what the executor of a VM does with the runs that it is ordered to start.
type executorHealth int

const (
	healthy  executorHealth = iota
	failing                 // each run fails halfway through its startup
	refusing                // each start is refused
	stuck                   // runs start and stay at 0 percent
)

// simVM is a VM of a simFleet.
type simVM struct {
	id          rudderfork.VMID
	incarnation int // number of the executor's current incarnation
	health      executorHealth
	down        bool                       // the VM sends nothing
	omitsRuns   bool                       // its heartbeats report no runs
	begunAt     map[queue.RunKey]time.Time // start times of the runs on its executor
}

func (v *simVM) incarnationName() string { return fmt.Sprintf("%s-life-%d", v.id, v.incarnation) }

// simFleet is a replicated queue state, the leader's volatile data about the VMs, and simulated
// VMs that carry out their orders, in simulated time.
type simFleet struct {
	t         *testing.T
	qs        *queue.State
	fleet     *fleet
	now       time.Time
	clockSkew time.Duration // how far the leader's clock is ahead of now
	vms       []*simVM

	pendingSince   map[queue.TaskKey]time.Time // since when a lasting task is without a run
	rejectedStarts int                         // planned starts that the state did not accept
}

func newSimFleet(t *testing.T, vms int) *simFleet {
	s := &simFleet{t: t, qs: queue.New(), fleet: newFleet(), now: time.Unix(simStartUnix, 0), pendingSince: map[queue.TaskKey]time.Time{}}
	s.apply(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 2, Stretch: 1.5, LatencyMS: 250}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for range vms {
		s.addVM()
	}
	return s
}

func (s *simFleet) addVM() {
	v := &simVM{id: rudderfork.VMID(fmt.Sprintf("vm%03d", len(s.vms))), begunAt: map[queue.RunKey]time.Time{}}
	s.vms = append(s.vms, v)
	s.register(v, nil)
}

// startOn starts a task on a VM without consulting the planner.
func (s *simFleet) startOn(k queue.TaskKey, v *simVM) {
	s.t.Helper()
	res := s.apply(queue.Command{Starts: []queue.Start{{Task: k, VM: v.id, Incarnation: v.incarnationName()}}})
	assert.Assert(s.t, res.Numbers[0] > 0, "%s was not started on %s", k, v.id)
}

func (s *simFleet) task(k queue.TaskKey) *queue.Task { return s.qs.Job(k.Job).Task(k) }

// vmOf returns the VM of a task's first active run, or nil.
func (s *simFleet) vmOf(k queue.TaskKey) *simVM {
	for _, r := range s.task(k).Runs {
		for _, v := range s.vms {
			if v.id == r.VM {
				return v
			}
		}
	}
	return nil
}

// isRunning reports whether the VM of a task's first active run has started that run.
func (s *simFleet) isRunning(k queue.TaskKey) bool {
	v := s.vmOf(k)
	return v != nil && !v.begunAt[k.Run(s.task(k).Runs[0].Number)].IsZero()
}

// vmsWithCapacity counts the reachable live VMs with free capacity for a task of the step.
func (s *simFleet) vmsWithCapacity(step queue.Step) (n int) {
	for _, v := range s.vms {
		vm := s.qs.VM(v.id)
		if !v.down && vm.Live && vm.Used().Add(step.Size).Fits(vm.Capacity) {
			n++
		}
	}
	return n
}

// leaderTime returns the time by the leader's clock.
func (s *simFleet) leaderTime() time.Time { return s.now.Add(s.clockSkew) }

func (s *simFleet) apply(cmd queue.Command) queue.Result {
	return s.qs.Apply(cmd, rudderfork.Millis(s.leaderTime()))
}

// scheduler returns a scheduler that shares the leader's fleet.
func (s *simFleet) scheduler() *Scheduler {
	return &Scheduler{fleet: s.fleet, log: zerolog.Nop(), rec: noPeers{}, met: newMetrics()}
}

func (s *simFleet) submit(id string, steps ...queue.Step) {
	s.t.Helper()
	res := s.apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/" + id, Spec: queue.Spec{Steps: steps}, KeepMS: 1 << 40}})
	assert.Equal(s.t, res.Code, queue.OK)
}

// lastingStep returns a step of serving tasks; a VM has capacity for 16 of them.
func lastingStep(count int) queue.Step {
	return queue.Step{Count: count, Size: rudderfork.Resources{CPUMilli: 500, MemoryMB: 100}, Lasting: true, Image: "s", TailMS: 20}
}

// register registers a VM with its current incarnation, gives it a session and marks it as up. crash
// is what the VM's agent reports of the previous incarnation; nil if nothing.
func (s *simFleet) register(v *simVM, crash *queue.Crash) {
	vm := queue.VM{
		ID: v.id, Incarnation: v.incarnationName(), Service: "desk", Rack: "r", Capacity: rudderfork.Resources{CPUMilli: 8_000, MemoryMB: 16_000},
	}
	s.fleet.recordCrash(s.qs, vm, crash, s.leaderTime())
	res := s.apply(queue.Command{Crash: crash, Register: &vm})
	s.scheduler().logLostRuns(v.id, incarnationReplaced, res)
	v.down = false
	s.connect(v)
}

// connect gives a VM a session and a lease, and sends its heartbeat.
func (s *simFleet) connect(v *simVM) {
	info := s.fleet.vm(v.id)
	info.session = &session{epoch: 1}
	info.lease.AllowGrants()
	info.lease.AssumeLease(s.leaderTime().Add(time.Hour))
	s.sendHeartbeat(v)
}

// crash restarts the executor of a VM in a new incarnation. If reported is set, the VM's agent
// reports the ages of the runs that were lost.
func (s *simFleet) crash(v *simVM, reported bool) {
	c := &queue.Crash{Incarnation: v.incarnationName()}
	for k, at := range v.begunAt {
		c.Runs = append(c.Runs, queue.RunAge{Task: k.TaskKey, Run: k.Number, AgeMS: s.now.Sub(at).Milliseconds(), Confirmed: true})
	}
	slices.SortFunc(c.Runs, func(a, b queue.RunAge) int { return a.Task.Compare(b.Task) })
	if !reported {
		c = nil
	}
	v.incarnation++
	clear(v.begunAt)
	s.register(v, c)
}

// changeLeader replaces the leader by one whose clock is ahead by skew.
func (s *simFleet) changeLeader(skew time.Duration) {
	s.clockSkew = skew
	s.fleet = newFleet()
	for _, v := range s.vms {
		if !v.down {
			s.connect(v)
		}
	}
}

// expireLease marks a VM as lost, as the leader does when its lease has run out.
func (s *simFleet) expireLease(v *simVM) {
	v.down = true
	s.fleet.vm(v.id).session = nil
	clear(v.begunAt)
	s.fleet.recordLoss(s.qs.VM(v.id), s.leaderTime())
	res := s.apply(queue.Command{Lost: &queue.VMLoss{VM: v.id, Incarnation: v.incarnationName()}})
	s.scheduler().logLostRuns(v.id, incarnationExpired, res)
}

func (s *simFleet) sendHeartbeat(v *simVM) {
	hb := wire.VMHeartbeat{VM: queue.VM{ID: v.id, Incarnation: v.incarnationName()}}
	for k, at := range v.begunAt {
		if v.omitsRuns {
			break
		}
		percent := min(fullPercent, int(fullPercent*s.now.Sub(at)/simStartupTime))
		if v.health == stuck {
			percent = 0
		}
		hb.Runs = append(hb.Runs, rudderfork.RunStatus{RunRef: k.Ref(k.Number), Percent: percent})
	}
	s.fleet.recordHeartbeat(s.fleet.vm(v.id), hb, s.leaderTime())
}

// executeOrders has a VM carry out its orders, report ends, and send a heartbeat.
func (s *simFleet) executeOrders(v *simVM) {
	vm := s.qs.VM(v.id)
	var ends []queue.End
	for k, number := range vm.Runs() {
		run := k.Run(number)
		at, begun := v.begunAt[run]
		_, stop := s.fleet.stops[k.Ref(number)]
		switch {
		case stop:
			ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeStopped})
		case begun && v.health == failing && s.now.Sub(at) > simStartupTime/2:
			ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeFailed})
		case begun:
		case v.health == refusing:
			ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeRefused, Reason: "503"})
		default:
			v.begunAt[run] = s.now
		}
	}
	slices.SortFunc(ends, func(a, b queue.End) int { return a.Task.Compare(b.Task) })
	s.reportEnds(v, ends...)
	for run := range v.begunAt {
		if vm.Runs()[run.TaskKey] != run.Number {
			delete(v.begunAt, run)
		}
	}
	s.sendHeartbeat(v)
}

// reportEnds commits ends of runs and records what they show about the VM, as a session does.
func (s *simFleet) reportEnds(v *simVM, ends ...queue.End) {
	if len(ends) == 0 {
		return
	}
	res := s.apply(queue.Command{Ends: &queue.Ends{VM: v.id, Incarnation: v.incarnationName(), List: ends}})
	for i, e := range ends {
		if res.Accepted[i] {
			s.fleet.recordEnd(v.id, e, s.leaderTime())
		}
	}
}

// plan makes one plan and commits its starts.
func (s *simFleet) plan() (plan dispatch.Plan) {
	view := s.fleet.view(s.qs, s.leaderTime())
	plan = s.fleet.planner.Plan(s.qs, view)
	s.fleet.setStops(plan.Stops, s.leaderTime())
	s.fleet.shortDemand.Observe(plan.ShortTasks, view.Now)
	if len(plan.Starts) == 0 {
		return plan
	}
	cmd := queue.Command{}
	for _, start := range plan.Starts {
		cmd.Starts = append(cmd.Starts, start.Start)
	}
	for _, n := range s.apply(cmd).Numbers {
		if n == 0 {
			s.rejectedStarts++
		}
	}
	return plan
}

// tick advances the simulated time to the next plan, has all VMs carry out their orders, and plans.
func (s *simFleet) tick() dispatch.Plan {
	s.now = s.now.Add(simPlanInterval)
	for _, v := range s.vms {
		if !v.down {
			s.executeOrders(v)
		}
	}
	plan := s.plan()
	for _, k := range s.lastingTasks() {
		if len(s.qs.Job(k.Job).Task(k).Runs) > 0 {
			delete(s.pendingSince, k)
		} else if _, known := s.pendingSince[k]; !known {
			s.pendingSince[k] = s.now
		}
	}
	return plan
}

func (s *simFleet) advance(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.tick()
	}
}

// lastingTasks returns the lasting tasks of unfinished jobs, sorted.
func (s *simFleet) lastingTasks() (list []queue.TaskKey) {
	for _, j := range s.qs.Live() {
		if j.Status.Final() {
			continue
		}
		for stepIndex, step := range j.Spec.Steps {
			for index := 0; step.Lasting && index < step.Count; index++ {
				list = append(list, queue.TaskKey{Job: j.ID, Step: stepIndex, Index: index})
			}
		}
	}
	slices.SortFunc(list, queue.TaskKey.Compare)
	return list
}
