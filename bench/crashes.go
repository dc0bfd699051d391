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

// The day that the crash model plays: a fleet whose executors crash under some tasks, and
// by themselves. State and planner are the product's; agents tell what package runner
// has them tell.
const (
	crashDayMS     = 60_000
	crashStepMS    = 50
	crashDownMS    = 3_300 // until an executor is back (a played day)
	crashDelayMS   = 10    // from the start of a poison task to its crash (a played day)
	crashSeenMS    = 100   // from the crash until the agent says that nobody listens
	crashLeaderMS  = 15_000
	crashJobsAVM   = 0.5 // a second
	crashTasks     = 6   // of a job
	crashWorkMS    = 640
	crashLastingVM = 2   // lasting tasks for each VM
	crashFlapMS    = 500 // least time that a flapping executor is up or down; at most four times as long
	crashCPU       = 16_000
	crashTaskCPU   = 240
	crashFullCPU   = 4_500 // of a task where they take most of the room
)

// crashPolicy is a way to deal with tasks under which executors crash.
type crashPolicy struct {
	name   string
	told   bool // agents tell what ran, and how long
	atMost int  // crashes at which whatever ran there is given up; 0 means by suspicion
}

var crashPolicies = []crashPolicy{
	{name: "as built", told: true},
	{name: "plain count, given up at two", atMost: 2},
	{name: "plain count, given up at three", atMost: 3},
}

// crashSetting is a fleet and its troubles.
type crashSetting struct {
	vms, poison int
	wholeSteps  bool    // all tasks of a poison job's step, not the first alone
	everyS      float64 // between two ordinary crashes of one VM; 0 for none
	flapping    int     // VMs whose executors go down and come up by turns, all day
	full        bool    // tasks take most of the room
}

// crashFigures are what a day shows.
type crashFigures struct {
	poison, poisonCrashes int // poison tasks that were started, and crashes of their doing
	afterThird            int // most starts of one task after three crashes under it
	innocent              int // jobs given up without a poison task
	done, doneClean       int // jobs without one that were done; the same where none is poison
}

func (f *crashFigures) add(o crashFigures) {
	f.poison += o.poison
	f.poisonCrashes += o.poisonCrashes
	f.afterThird = max(f.afterThird, o.afterThird)
	f.innocent += o.innocent
	f.done += o.done
	f.doneClean += o.doneClean
}

// crashSim plays one day.
type crashSim struct {
	cfg    crashSetting
	policy crashPolicy
	rng    *rand.Rand
	now    int64
	state  *queue.State
	plans  *dispatch.Planner
	vms    []*crashVM
	seen   map[queue.RunKey]dispatch.RunView
	poison map[rudderfork.JobID]bool
	under  map[queue.TaskKey]int // crashes
	jobs   int
	out    crashFigures
}

// crashVM is one VM's executor.
type crashVM struct {
	id      rudderfork.VMID
	life    int
	downAt  int64 // 0 while it is up
	backAt  int64 // when it comes up again
	flapAt  int64 // when it goes down next; 0 unless it flaps
	began   map[queue.RunKey]int64
	crashed *queue.Crash
}

func newCrashSim(cfg crashSetting, policy crashPolicy, seed uint64) *crashSim {
	s := &crashSim{
		cfg: cfg, policy: policy, rng: rand.New(rand.NewPCG(seed, 3)), now: 1_000_000, state: queue.New(), plans: dispatch.NewPlanner(),
		seen: map[queue.RunKey]dispatch.RunView{}, poison: map[rudderfork.JobID]bool{}, under: map[queue.TaskKey]int{},
	}
	s.apply(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 4, Stretch: 1.5, LatencyMS: 250}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for i := range cfg.vms {
		v := &crashVM{id: rudderfork.VMID(fmt.Sprintf("vm%03d", i)), began: map[queue.RunKey]int64{}}
		s.vms = append(s.vms, v)
		if i < cfg.flapping {
			v.flapAt = s.now + s.flapSpan()
		}
		s.register(v)
	}
	for i := range cfg.vms * crashLastingVM / crashTasks {
		s.submit(fmt.Sprintf("lasting-%d", i), queue.Step{Count: crashTasks, Lasting: true, Size: rudderfork.Resources{CPUMilli: crashCPU / 8}})
	}
	return s
}

func (s *crashSim) apply(c queue.Command) queue.Result { return s.state.Apply(c, s.now) }

func (s *crashSim) submit(id string, st queue.Step) {
	s.apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/" + id, Spec: queue.Spec{Steps: []queue.Step{st}}, KeepMS: 1 << 40}})
}

func (s *crashSim) register(v *crashVM) {
	v.life++
	c := queue.Command{Register: &queue.VM{
		ID: v.id, Incarnation: fmt.Sprintf("%s-%d", v.id, v.life), Service: "desk", Capacity: rudderfork.Resources{CPUMilli: crashCPU, MemoryMB: 1},
	}}
	if s.policy.told {
		c.Crash = v.crashed
	}
	s.apply(c)
}

// play plays the day.
func (s *crashSim) play() crashFigures {
	end := s.now + crashDayMS
	for s.now < end {
		s.now += crashStepMS
		if s.now%crashLeaderMS == 0 {
			s.plans = dispatch.NewPlanner()
		}
		s.arrive(end)
		for _, v := range s.vms {
			s.step(v)
		}
		s.dispatch()
	}
	s.sumUp()
	return s.out
}

// arrive hands jobs in; the poison ones come in the first half of the day.
func (s *crashSim) arrive(end int64) {
	perStep := crashJobsAVM * float64(s.cfg.vms) * crashStepMS / 1000
	for range int(perStep) + chance(s.rng, perStep-float64(int(perStep))) {
		s.jobs++
		s.submit(fmt.Sprintf("good-%d", s.jobs), s.short())
	}
	perStep = float64(s.cfg.poison) / (crashDayMS / 2 / crashStepMS)
	if left := end - s.now; left > crashDayMS/2 && len(s.poison) < s.cfg.poison && chance(s.rng, perStep) == 1 {
		id := fmt.Sprintf("poison-%d", len(s.poison))
		s.poison[rudderfork.JobID(id)] = true
		s.submit(id, s.short())
	}
}

func (s *crashSim) short() queue.Step {
	cpu := int64(crashTaskCPU)
	if s.cfg.full {
		cpu = crashFullCPU
	}
	return queue.Step{Count: crashTasks, Size: rudderfork.Resources{CPUMilli: cpu}, ExpectedMS: crashWorkMS, Speculative: true}
}

func chance(rng *rand.Rand, p float64) int {
	if rng.Float64() < p {
		return 1
	}
	return 0
}

// step lets a VM's executor work, crash and come back.
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
	for _, k := range sortedRuns(v.began) {
		s.seen[k] = dispatch.RunView{FirstSeenAt: v.began[k], ProgressedAt: s.now}
		if s.state.Job(k.Job).Status.Final() {
			list.List = append(list.List, queue.End{Task: k.TaskKey, Run: k.Number, Outcome: queue.OutcomeStopped})
			delete(v.began, k)
			continue
		}
		if !s.state.Job(k.Job).Spec.Steps[k.Step].Lasting && s.now-v.began[k] >= crashWorkMS {
			list.List = append(list.List, queue.End{Task: k.TaskKey, Run: k.Number, Outcome: queue.OutcomeDone})
			delete(v.began, k)
		}
	}
	if len(list.List) > 0 {
		s.apply(queue.Command{Ends: &list})
	}
}

// nextCrash returns when the executor crashes in this step, and the task whose doing it
// is, if any; 0 means that it does not.
func (s *crashSim) nextCrash(v *crashVM) (at int64, cause *queue.RunKey) {
	for _, k := range sortedRuns(v.began) {
		if s.isPoison(k.TaskKey) && (at == 0 || v.began[k]+crashDelayMS < at) {
			at, cause = v.began[k]+crashDelayMS, &k
		}
	}
	if at == 0 && v.flapAt != 0 && s.now >= v.flapAt {
		at = s.now - s.rng.Int64N(crashStepMS)
	}
	if at == 0 && s.cfg.everyS > 0 && chance(s.rng, crashStepMS/1000.0/s.cfg.everyS) == 1 {
		at = s.now - s.rng.Int64N(crashStepMS)
	}
	return at, cause
}

// flapSpan draws for how long a flapping executor is up or down.
func (s *crashSim) flapSpan() int64 { return crashFlapMS + s.rng.Int64N(3*crashFlapMS) }

func (s *crashSim) isPoison(k queue.TaskKey) bool {
	return s.poison[k.Job] && (s.cfg.wholeSteps || k.Index == 0)
}

func (s *crashSim) crash(v *crashVM, at int64, cause *queue.RunKey) {
	v.downAt, v.backAt = at, at+crashDownMS
	if v.flapAt != 0 {
		v.backAt = at + s.flapSpan()
		v.flapAt = v.backAt + s.flapSpan()
	}
	v.crashed = &queue.Crash{Incarnation: s.state.VM(v.id).Incarnation}
	for _, k := range sortedRuns(v.began) {
		if v.began[k] > at {
			continue
		}
		s.under[k.TaskKey]++
		if s.isPoison(k.TaskKey) {
			s.out.afterThird = max(s.out.afterThird, s.under[k.TaskKey]-3) // each of its starts ends so
		}
		v.crashed.Runs = append(v.crashed.Runs, queue.RunAge{Task: k.TaskKey, Run: k.Number, AgeMS: at - v.began[k], Confirmed: true})
		if s.policy.atMost > 0 && s.under[k.TaskKey] >= s.policy.atMost {
			s.apply(queue.Command{Cancel: &queue.Cancel{Host: "h", Path: "/q/" + string(k.Job)}})
		}
	}
	if cause != nil {
		s.out.poisonCrashes++
	}
	clear(v.began)
}

// dispatch plans and starts.
func (s *crashSim) dispatch() {
	view := dispatch.View{Now: s.now, VMs: map[rudderfork.VMID]dispatch.VMView{}, Runs: s.seen, Pressure: func(string, string) float64 { return 0 }}
	byID := map[rudderfork.VMID]*crashVM{}
	for _, v := range s.vms {
		byID[v.id] = v
		view.VMs[v.id] = dispatch.VMView{Usable: v.downAt == 0 || s.now-v.downAt < crashSeenMS}
	}
	plan := s.plans.Plan(s.state, view)
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
			continue // refused, or the call finds nobody
		}
		v.began[st.Task.Run(n)] = s.now + s.rng.Int64N(crashStepMS/2)
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

func (s *crashSim) sumUp() {
	for id := range s.poison {
		for index := range crashTasks {
			if k := (queue.TaskKey{Job: id, Index: index}); s.isPoison(k) && s.under[k] > 0 {
				s.out.poison++
			}
		}
	}
	judge := func(id string) {
		j := s.state.Job(rudderfork.JobID(id))
		switch {
		case j == nil:
		case j.Status == queue.Completed:
			s.out.done++
		case j.Status == queue.Failed || j.Status == queue.Cancelled:
			s.out.innocent++
		}
	}
	for i := range s.jobs {
		judge(fmt.Sprintf("good-%d", i+1))
	}
	for i := range s.cfg.vms * crashLastingVM / crashTasks {
		judge(fmt.Sprintf("lasting-%d", i))
	}
}

// crashDays plays days of a setting, and the same without poison tasks.
func crashDays(cfg crashSetting, policy crashPolicy, days int) (sum crashFigures) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for seed := range uint64(days) {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			f := newCrashSim(cfg, policy, seed).play()
			clean := cfg
			clean.poison = 0
			f.doneClean = newCrashSim(clean, policy, seed).play().done
			mu.Lock()
			defer mu.Unlock()
			sum.add(f)
		})
	}
	wg.Wait()
	return sum
}

// Crashes prints what tasks that crash their executors do to a fleet, by policy.
func Crashes(w io.Writer) {
	printHeading(w, "Tasks that crash their executors: days of %d s, an executor is back after %.1f s", crashDayMS/1000, crashDownMS/1000.0)
	fmt.Fprintf(w, "%-6s %-7s %-6s %-10s %-9s %-6s %-30s %12s %12s %10s %10s\n", "VMs", "poison", "whole", "ordinary", "flapping", "full", "policy", "crashes a task", "after third", "innocents", "others' work")
	for _, c := range []struct {
		cfg  crashSetting
		days int
	}{
		{crashSetting{13, 5, false, 0, 0, false}, 200},
		{crashSetting{13, 30, false, 0, 0, false}, 200},
		{crashSetting{13, 5, true, 0, 0, false}, 100},
		{crashSetting{13, 5, false, 60, 0, false}, 200},
		{crashSetting{13, 0, false, 60, 0, false}, 100},
		{crashSetting{13, 5, false, 10, 0, false}, 100},
		{crashSetting{13, 0, false, 0, 1, false}, 100},
		{crashSetting{13, 0, false, 0, 4, false}, 100},
		{crashSetting{13, 0, false, 0, 4, true}, 100},
		{crashSetting{13, 5, false, 60, 4, false}, 100},
		{crashSetting{76, 30, false, 60, 0, false}, 80},
		{crashSetting{240, 30, false, 60, 0, false}, 20},
	} {
		for _, p := range crashPolicies {
			f := crashDays(c.cfg, p, c.days)
			fmt.Fprintf(w, "%-6d %-7d %-6v %-10s %-9d %-6v %-30s %12.2f %12d %10s %9.1f%%\n", c.cfg.vms, c.cfg.poison, c.cfg.wholeSteps, every(c.cfg.everyS), c.cfg.flapping, c.cfg.full, p.name,
				float64(f.poisonCrashes)/float64(max(1, f.poison)), f.afterThird, fmt.Sprintf("%d/%d d", f.innocent, c.days), 100*float64(f.done)/float64(max(1, f.doneClean)))
		}
	}
}

func every(s float64) string {
	if s == 0 {
		return "none"
	}
	return fmt.Sprintf("1 in %.0f s", s)
}
