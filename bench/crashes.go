package bench

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
)

// The scenario of the crash simulation: a fleet whose executors crash when they run poison
// tasks, and also without a cause. One simulation covers a day of crashDayMS. The state and
// the planner are those of the control process; the agents are simulated, and report a crash
// as package runner does.
const (
	crashDayMS          = 60_000
	crashStepMS         = 50     // between two steps of the simulation
	crashDownMS         = 3_300  // until a crashed executor is up again
	crashDelayMS        = 10     // from the start of a poison task to the crash of its executor
	crashDetectMS       = 100    // from a crash until the agent reports that the executor does not listen
	crashLeaderChangeMS = 15_000 // between two changes of leader; a new leader begins with an empty planner
	crashJobsPerVM      = 0.5    // jobs of short tasks per VM and second
	crashTasksPerJob    = 6
	crashWorkMS         = 640    // run time of a short task
	crashLastingPerVM   = 2      // lasting tasks per VM
	crashFlapMS         = 500    // shortest time that a flapping executor is up or down; the longest is four times that
	crashVMCPU          = 16_000 // millicores
	crashTaskCPU        = 240    // of a short task, millicores
	crashLargeTaskCPU   = 4_500  // of a short task in a full scenario, millicores
)

// crashPolicy is a way to deal with tasks that may have crashed an executor.
type crashPolicy struct {
	name       string
	reportRuns bool // agents report which runs were active at a crash, and their ages
	maxCrashes int  // crashes after which a task's job is cancelled; 0 leaves it to the suspicion rules of package queue
}

// crashPolicies are the policies to compare; the first is the product's.
var crashPolicies = []crashPolicy{
	{name: "as built", reportRuns: true},
	{name: "plain count, given up at two", maxCrashes: 2},
	{name: "plain count, given up at three", maxCrashes: 3},
}

// crashScenario is a fleet and the crashes in it.
type crashScenario struct {
	vms, poison    int     // VMs, and poison jobs
	wholeSteps     bool    // all tasks of a poison job are poison, not only the first
	crashIntervalS float64 // mean seconds between two crashes of a VM that no task causes; 0 for none
	flapping       int     // VMs whose executors go down and come up all day
	full           bool    // tasks take most of the VMs' capacity
}

// crashResult is the outcome of one or more days.
type crashResult struct {
	poison, poisonCrashes int // poison tasks that were started, and crashes that poison tasks caused
	afterThird            int // most starts of one poison task after its third crash
	innocentFailed        int // jobs without poison tasks that failed or were cancelled
	done, doneBaseline    int // jobs without poison tasks that completed; their number in the same day without poison jobs
}

func (r *crashResult) add(o crashResult) {
	r.poison += o.poison
	r.poisonCrashes += o.poisonCrashes
	r.afterThird = max(r.afterThird, o.afterThird)
	r.innocentFailed += o.innocentFailed
	r.done += o.done
	r.doneBaseline += o.doneBaseline
}

// crashSim simulates one day.
type crashSim struct {
	cfg      crashScenario
	policy   crashPolicy
	rng      *rand.Rand
	now      int64 // Unix ms
	state    *queue.State
	planner  *dispatch.Planner
	vms      []*crashVM
	runViews map[queue.RunKey]dispatch.RunView
	poison   map[rudderfork.JobID]bool // poison jobs
	crashes  map[queue.TaskKey]int     // crashes of executors while a run of the task was active
	jobs     int                       // jobs of short tasks submitted, without poison jobs
	result   crashResult
}

// crashVM is one VM's executor. Times are Unix ms.
type crashVM struct {
	id          rudderfork.VMID
	incarnation int
	downAt      int64                  // when it went down; 0 while it is up
	backAt      int64                  // when it comes up again
	flapAt      int64                  // when it goes down next; 0 unless it flaps
	startedAt   map[queue.RunKey]int64 // start times of the active runs
	lastCrash   *queue.Crash           // nil before the first crash
}

func newCrashSim(cfg crashScenario, policy crashPolicy, seed uint64) *crashSim {
	s := &crashSim{
		cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(seed, 3)), now: 1_000_000, state: queue.New(), planner: dispatch.NewPlanner(),
		runViews: map[queue.RunKey]dispatch.RunView{}, poison: map[rudderfork.JobID]bool{}, crashes: map[queue.TaskKey]int{},
	}
	s.apply(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 4, Stretch: 1.5, LatencyMS: 250}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for i := range cfg.vms {
		v := &crashVM{id: rudderfork.VMID(fmt.Sprintf("vm%03d", i)), startedAt: map[queue.RunKey]int64{}}
		s.vms = append(s.vms, v)
		if i < cfg.flapping {
			v.flapAt = s.now + s.flapSpan()
		}
		s.register(v)
	}
	for i := range cfg.vms * crashLastingPerVM / crashTasksPerJob {
		s.submit(fmt.Sprintf("lasting-%d", i), queue.Step{Count: crashTasksPerJob, Lasting: true, Size: rudderfork.Resources{CPUMilli: crashVMCPU / 8}})
	}
	return s
}

func (s *crashSim) apply(c queue.Command) queue.Result { return s.state.Apply(c, s.now) }

// submit submits a job of one step.
func (s *crashSim) submit(id string, st queue.Step) {
	s.apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/" + id, Spec: queue.Spec{Steps: []queue.Step{st}}, KeepMS: 1 << 40}})
}

// register registers the next incarnation of an executor, with the crash of the one before.
func (s *crashSim) register(v *crashVM) {
	v.incarnation++
	c := queue.Command{Register: &queue.VM{
		ID: v.id, Incarnation: fmt.Sprintf("%s-%d", v.id, v.incarnation), Service: "desk", Capacity: rudderfork.Resources{CPUMilli: crashVMCPU, MemoryMB: 1},
	}}
	if s.policy.reportRuns {
		c.Crash = v.lastCrash
	}
	s.apply(c)
}

// run simulates the day.
func (s *crashSim) run() crashResult {
	end := s.now + crashDayMS
	for s.now < end {
		s.now += crashStepMS
		if s.now%crashLeaderChangeMS == 0 {
			s.planner = dispatch.NewPlanner()
		}
		s.submitArrivals(end)
		for _, v := range s.vms {
			s.step(v)
		}
		s.dispatch()
	}
	s.summarize()
	return s.result
}

// submitArrivals submits the jobs of one step. Poison jobs arrive in the first half of the day.
func (s *crashSim) submitArrivals(end int64) {
	perStep := crashJobsPerVM * float64(s.cfg.vms) * crashStepMS / 1000
	for range int(perStep) + chance(s.rng, perStep-float64(int(perStep))) {
		s.jobs++
		s.submit(fmt.Sprintf("good-%d", s.jobs), s.shortStep())
	}
	perStep = float64(s.cfg.poison) / (crashDayMS / 2 / crashStepMS)
	if left := end - s.now; left > crashDayMS/2 && len(s.poison) < s.cfg.poison && chance(s.rng, perStep) == 1 {
		id := fmt.Sprintf("poison-%d", len(s.poison))
		s.poison[rudderfork.JobID(id)] = true
		s.submit(id, s.shortStep())
	}
}

// shortStep returns the step of a job of short tasks.
func (s *crashSim) shortStep() queue.Step {
	cpu := int64(crashTaskCPU)
	if s.cfg.full {
		cpu = crashLargeTaskCPU
	}
	return queue.Step{Count: crashTasksPerJob, Size: rudderfork.Resources{CPUMilli: cpu}, ExpectedMS: crashWorkMS, Speculative: true}
}

// chance returns 1 with probability p, else 0.
func chance(rng *rand.Rand, p float64) int {
	if rng.Float64() < p {
		return 1
	}
	return 0
}

// step simulates one step of a VM's executor: it runs tasks, crashes or comes up again.
func (s *crashSim) step(v *crashVM) {
	if v.downAt != 0 {
		if s.now >= v.backAt {
			v.downAt = 0
			s.register(v)
		}
		return
	}
	if at, cause := s.nextCrash(v); at != 0 {
		s.crash(v, at, cause)
		return
	}
	list := queue.Ends{VM: v.id, Incarnation: s.state.VM(v.id).Incarnation}
	for _, k := range sortedRuns(v.startedAt) {
		s.runViews[k] = dispatch.RunView{FirstSeenAt: v.startedAt[k], ProgressedAt: s.now}
		if s.state.Job(k.Job).Status.Final() {
			list.List = append(list.List, queue.End{Task: k.TaskKey, Run: k.Number, Outcome: queue.OutcomeStopped})
			delete(v.startedAt, k)
			continue
		}
		if !s.state.Job(k.Job).Spec.Steps[k.Step].Lasting && s.now-v.startedAt[k] >= crashWorkMS {
			list.List = append(list.List, queue.End{Task: k.TaskKey, Run: k.Number, Outcome: queue.OutcomeDone})
			delete(v.startedAt, k)
		}
	}
	if len(list.List) > 0 {
		s.apply(queue.Command{Ends: &list})
	}
}

// nextCrash returns when the executor crashes in this step, and the run of a poison task
// that causes it, if any. at is 0 if the executor does not crash.
func (s *crashSim) nextCrash(v *crashVM) (at int64, cause *queue.RunKey) {
	for _, k := range sortedRuns(v.startedAt) {
		if s.isPoison(k.TaskKey) && (at == 0 || v.startedAt[k]+crashDelayMS < at) {
			at, cause = v.startedAt[k]+crashDelayMS, &k
		}
	}
	if at == 0 && v.flapAt != 0 && s.now >= v.flapAt {
		at = s.now - s.rng.Int64N(crashStepMS)
	}
	if at == 0 && s.cfg.crashIntervalS > 0 && chance(s.rng, crashStepMS/1000.0/s.cfg.crashIntervalS) == 1 {
		at = s.now - s.rng.Int64N(crashStepMS)
	}
	return at, cause
}

// flapSpan draws the time, in ms, for which a flapping executor stays up or down.
func (s *crashSim) flapSpan() int64 { return crashFlapMS + s.rng.Int64N(3*crashFlapMS) }

func (s *crashSim) isPoison(k queue.TaskKey) bool {
	return s.poison[k.Job] && (s.cfg.wholeSteps || k.Index == 0)
}

// crash takes an executor down and records the runs that were active.
func (s *crashSim) crash(v *crashVM, at int64, cause *queue.RunKey) {
	v.downAt, v.backAt = at, at+crashDownMS
	if v.flapAt != 0 {
		v.backAt = at + s.flapSpan()
		v.flapAt = v.backAt + s.flapSpan()
	}
	v.lastCrash = &queue.Crash{Incarnation: s.state.VM(v.id).Incarnation}
	for _, k := range sortedRuns(v.startedAt) {
		if v.startedAt[k] > at {
			continue
		}
		s.crashes[k.TaskKey]++
		if s.isPoison(k.TaskKey) {
			s.result.afterThird = max(s.result.afterThird, s.crashes[k.TaskKey]-3) // each of its starts ends in a crash
		}
		v.lastCrash.Runs = append(v.lastCrash.Runs, queue.RunAge{Task: k.TaskKey, Run: k.Number, AgeMS: at - v.startedAt[k], Confirmed: true})
		if s.policy.maxCrashes > 0 && s.crashes[k.TaskKey] >= s.policy.maxCrashes {
			s.apply(queue.Command{Cancel: &queue.Cancel{Host: "h", Path: "/q/" + string(k.Job)}})
		}
	}
	if cause != nil {
		s.result.poisonCrashes++
	}
	clear(v.startedAt)
}

// dispatch plans one round and starts the planned runs.
func (s *crashSim) dispatch() {
	view := dispatch.View{Now: s.now, VMs: map[rudderfork.VMID]dispatch.VMView{}, Runs: s.runViews, Pressure: func(string, string) float64 { return 0 }}
	byID := map[rudderfork.VMID]*crashVM{}
	for _, v := range s.vms {
		byID[v.id] = v
		view.VMs[v.id] = dispatch.VMView{Usable: v.downAt == 0 || s.now-v.downAt < crashDetectMS}
	}
	plan := s.planner.Plan(s.state, view)
	var c queue.Command
	for _, st := range plan.Starts {
		c.Starts = append(c.Starts, st.Start)
	}
	if len(c.Starts) == 0 {
		return
	}
	for i, n := range s.apply(c).Numbers {
		st := c.Starts[i]
		v := byID[st.VM]
		if n == 0 || v.downAt != 0 {
			continue // the start was rejected, or the executor is down
		}
		v.startedAt[st.Task.Run(n)] = s.now + s.rng.Int64N(crashStepMS/2)
	}
}

func sortedRuns(m map[queue.RunKey]int64) []queue.RunKey {
	list := make([]queue.RunKey, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b queue.RunKey) int {
		return cmp.Or(a.Compare(b.TaskKey), cmp.Compare(a.Number, b.Number))
	})
	return list
}

// summarize counts the poison tasks and the final states of the other jobs.
func (s *crashSim) summarize() {
	for id := range s.poison {
		for index := range crashTasksPerJob {
			if k := (queue.TaskKey{Job: id, Index: index}); s.isPoison(k) && s.crashes[k] > 0 {
				s.result.poison++
			}
		}
	}
	count := func(id string) {
		j := s.state.Job(rudderfork.JobID(id))
		switch {
		case j == nil:
		case j.Status == queue.Completed:
			s.result.done++
		case j.Status == queue.Failed || j.Status == queue.Cancelled:
			s.result.innocentFailed++
		}
	}
	for i := range s.jobs {
		count(fmt.Sprintf("good-%d", i+1))
	}
	for i := range s.cfg.vms * crashLastingPerVM / crashTasksPerJob {
		count(fmt.Sprintf("lasting-%d", i))
	}
}

// runCrashDays simulates days of a scenario, each with a seed of its own, and the same days
// without poison jobs as the baseline. It returns the sums.
func runCrashDays(cfg crashScenario, policy crashPolicy, days int) (sum crashResult) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for seed := range uint64(days) {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			f := newCrashSim(cfg, policy, seed).run()
			clean := cfg
			clean.poison = 0
			f.doneBaseline = newCrashSim(clean, policy, seed).run().done
			mu.Lock()
			defer mu.Unlock()
			sum.add(f)
		})
	}
	wg.Wait()
	return sum
}

// Crashes prints the effect on a fleet of tasks that crash their executors, by policy.
func Crashes(w io.Writer) {
	printHeading(w, "Tasks that crash their executors: days of %d s, an executor is back after %.1f s", crashDayMS/1000, crashDownMS/1000.0)
	fmt.Fprintf(w, "%-6s %-7s %-6s %-10s %-9s %-6s %-30s %12s %12s %10s %10s\n", "VMs", "poison", "whole", "ordinary", "flapping", "full", "policy", "crashes a task", "after third", "innocents", "others' work")
	for _, c := range []struct {
		cfg  crashScenario
		days int
	}{
		{crashScenario{13, 5, false, 0, 0, false}, 200},
		{crashScenario{13, 30, false, 0, 0, false}, 200},
		{crashScenario{13, 5, true, 0, 0, false}, 100},
		{crashScenario{13, 5, false, 60, 0, false}, 200},
		{crashScenario{13, 0, false, 60, 0, false}, 100},
		{crashScenario{13, 5, false, 10, 0, false}, 100},
		{crashScenario{13, 0, false, 0, 1, false}, 100},
		{crashScenario{13, 0, false, 0, 4, false}, 100},
		{crashScenario{13, 0, false, 0, 4, true}, 100},
		{crashScenario{13, 5, false, 60, 4, false}, 100},
		{crashScenario{76, 30, false, 60, 0, false}, 80},
		{crashScenario{240, 30, false, 60, 0, false}, 20},
	} {
		for _, p := range crashPolicies {
			f := runCrashDays(c.cfg, p, c.days)
			fmt.Fprintf(w, "%-6d %-7d %-6v %-10s %-9d %-6v %-30s %12.2f %12d %10s %9.1f%%\n", c.cfg.vms, c.cfg.poison, c.cfg.wholeSteps, formatInterval(c.cfg.crashIntervalS), c.cfg.flapping, c.cfg.full, p.name,
				float64(f.poisonCrashes)/float64(max(1, f.poison)), f.afterThird, fmt.Sprintf("%d/%d d", f.innocentFailed, c.days), 100*float64(f.done)/float64(max(1, f.doneBaseline)))
		}
	}
}

// formatInterval formats the seconds between two crashes.
func formatInterval(s float64) string {
	if s == 0 {
		return "none"
	}
	return fmt.Sprintf("1 in %.0f s", s)
}
