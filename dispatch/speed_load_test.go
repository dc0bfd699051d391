package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/vmspeed"
	"rudderfork.example/rudderfork/worktime"
)

// unevenFleet runs a day of jobs on VMs of which a quarter are slow in turn.
type unevenFleet struct {
	*simulation
	speeds    *vmspeed.Model // nil if the planner knows no speeds
	workTimes *worktime.Model
	runs      map[queue.RunKey]*unevenRun
	totals    map[queue.TaskKey]float64 // work of a task, ms at the usual speed
}

// unevenRun is the run of a task, with times in ms.
type unevenRun struct {
	total, done float64 // work at the usual speed
	startedAt   float64
	stopAt      int64 // when an ordered stop takes effect; 0 if none is ordered
}

const (
	unevenVMs   = 16
	slowness    = 4
	slowSpanMS  = 10_000
	heartbeatMS = 500
	stopDelayMS = 250
)

// speedOf returns the true speed of a VM.
func (u *unevenFleet) speedOf(vm rudderfork.VMID) float64 {
	var n int64
	_, err := fmt.Sscanf(string(vm), "vm%d", &n)
	assert.NilError(u.t, err)
	if n%4 == u.view.Now/slowSpanMS%4 {
		return 1.0 / slowness
	}
	return 1
}

// newUnevenFleet returns a fleet with jobs of short tasks and of fillers. One percent of the tasks
// takes seven times as long as others of their step, and estimates are off by half.
func newUnevenFleet(t *testing.T, seed uint64, learn bool) *unevenFleet {
	sim := &simulation{fixture: newFixture(t, 0), rnd: rand.New(rand.NewPCG(seed, 4)), pl: NewPlanner()}
	u := &unevenFleet{simulation: sim, workTimes: worktime.New(), runs: map[queue.RunKey]*unevenRun{}, totals: map[queue.TaskKey]float64{}}
	if learn {
		u.speeds = vmspeed.New()
	}
	u.view.WorkTime = u.workTimes.Estimate
	doc := *u.s.Document()
	doc.Version++
	doc.Queues = []queue.Queue{
		{Name: "check", Host: host, Prefix: "/check/", Service: "desk", MaxAttempts: 2, Stretch: 1.5, LatencyMS: 300},
		{Name: "filing", Host: host, Prefix: "/filing/", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2, LatencyMS: 1_000},
	}
	assert.Equal(t, u.s.Apply(queue.Command{Document: &doc}, 1).Code, queue.OK)
	for i := range unevenVMs {
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		u.s.Apply(queue.Command{Register: &queue.VM{ID: id, Incarnation: "life", Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 8_000, MemoryMB: 32_000}}}, 1)
		u.view.VMs[id] = VMView{Usable: true}
	}
	for at := 1_000.0; at < 40_000; {
		at += u.rnd.ExpFloat64() * 350
		j := simJob{queue: "check", at: int64(at)}
		count, mean, size := 10, 850.0, int64(410)
		if u.rnd.Float64() < 0.25 {
			j.queue, count, mean, size = "filing", 20, 1_400, 1_800
		}
		for range 2 {
			st := cpuStep(size)
			st.Count, st.Filler = count, j.queue == "filing"
			took := u.logNormal(mean, 0.4, 5*mean)
			st.ExpectedMS = int64(max(1, took*u.logNormal(1, 0.5, 3)))
			if n := len(j.spec); n > 0 {
				st.DependsOn = []int{n - 1}
			}
			j.spec, j.trueMS = append(j.spec, st), append(j.trueMS, int64(took))
		}
		u.jobs = append(u.jobs, j)
	}
	return u
}

// simulate runs until all jobs are done.
func (u *unevenFleet) simulate() {
	next, left := 0, len(u.jobs)
	for left > 0 {
		u.view.Now += planIntervalMS
		for ; next < len(u.jobs) && u.jobs[next].at <= u.view.Now; next++ {
			u.submit(u.jobs[next].queue, u.id(next), u.jobs[next].at, u.jobs[next].spec...)
		}
		u.work()
		if u.view.Now%heartbeatMS == 0 {
			u.report()
		}
		left = u.recordDone(next)
		u.plan()
	}
}

// now returns the virtual time.
func (u *unevenFleet) now() time.Time { return time.UnixMilli(u.view.Now) }

// work advances the runs, and ends those that are done or stopped.
func (u *unevenFleet) work() {
	for _, vm := range u.s.VMs() {
		speed := u.speedOf(vm.ID)
		var ends []queue.End
		for k, number := range vm.Runs() {
			r := u.runs[k.Run(number)]
			r.done += planIntervalMS * speed
			switch {
			case r.done >= r.total:
				ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeDone})
			case r.stopAt != 0 && r.stopAt <= u.view.Now:
				ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeStopped})
			}
		}
		for _, e := range ends {
			u.end(vm.ID, e)
		}
		u.s.Apply(queue.Command{Ends: &queue.Ends{VM: vm.ID, Incarnation: "life", List: ends}}, u.view.Now)
	}
}

// end observes the end of a run.
func (u *unevenFleet) end(vm rudderfork.VMID, e queue.End) {
	k := e.Task.Run(e.Run)
	worked := float64(u.view.Now) - u.runs[k].startedAt
	delete(u.view.Runs, k)
	if e.Outcome != queue.OutcomeDone {
		return
	}
	if u.speeds != nil {
		u.speeds.ObserveEnd(vm, "life", u.progress(k, worked), u.now())
		worked *= u.speeds.Estimate(vm, u.now()).Certain()
	}
	j := u.s.Job(k.Job)
	u.workTimes.Observe(j.Queue.Name, k.StepKey(), &j.Spec.Steps[k.Step], worked, u.now())
	u.view.WorkTimeVersion = u.workTimes.Changes() / 32
}

// progress returns what is reported of a run.
func (u *unevenFleet) progress(k queue.RunKey, worked float64) vmspeed.Progress {
	j, r := u.s.Job(k.Job), u.runs[k]
	return vmspeed.Progress{
		Run: k, Percent: int(100 * r.done / r.total), WorkedMS: worked,
		ExpectedMS: u.workTimes.Estimate(j.Queue.Name, k.StepKey(), &j.Spec.Steps[k.Step]),
	}
}

// report delivers a heartbeat of each VM.
func (u *unevenFleet) report() {
	for _, vm := range u.s.VMs() {
		var list []vmspeed.Progress
		for k, number := range vm.Runs() {
			key := k.Run(number)
			p := u.progress(key, float64(u.view.Now)-u.runs[key].startedAt)
			list = append(list, p)
			run, seen := u.view.Runs[key]
			if !seen {
				run = RunView{FirstPercent: p.Percent, FirstSeenAt: u.view.Now, ProgressedAt: u.view.Now}
			}
			if p.Percent != run.Percent {
				run.ProgressedAt = u.view.Now
			}
			run.Percent = p.Percent
			u.view.Runs[key] = run
		}
		if u.speeds != nil {
			u.speeds.Observe(vm.ID, "life", list, u.now())
			u.view.VMs[vm.ID] = VMView{Usable: true, Speed: u.speeds.Estimate(vm.ID, u.now()).Certain()}
		}
	}
}

// plan makes a plan, orders its stops and makes its starts.
func (u *unevenFleet) plan() {
	plan := u.pl.Plan(u.s, u.view)
	for _, st := range plan.Stops {
		if r := u.runs[st.Task.Run(st.Run)]; r.stopAt == 0 {
			r.stopAt = u.view.Now + stopDelayMS
			if st.Reason == ReasonSlow || st.Reason == ReasonStalled {
				u.view.FailedOn[st.Task] = append(u.view.FailedOn[st.Task], st.VM)
			}
		}
	}
	c := queue.Command{}
	for _, st := range plan.Starts {
		c.Starts = append(c.Starts, st.Start)
	}
	for i, n := range u.s.Apply(c, u.view.Now).Numbers {
		st := c.Starts[i]
		u.runs[st.Task.Run(n)] = &unevenRun{total: u.totalOf(st.Task), startedAt: float64(u.view.Now)}
	}
}

// totalOf returns the work of a task, in ms at the usual speed.
func (u *unevenFleet) totalOf(k queue.TaskKey) float64 {
	if total, ok := u.totals[k]; ok {
		return total
	}
	var index int
	_, err := fmt.Sscanf(string(k.Job), "job%d", &index)
	assert.NilError(u.t, err)
	total := float64(u.jobs[index].trueMS[k.Step]) * math.Exp(0.2*u.rnd.NormFloat64())
	if u.rnd.Float64() < 0.01 {
		total *= 7
	}
	u.totals[k] = total
	return total
}

// TestInTimeShareOnUnevenVMs guards against a planner that treats VMs of different speed alike:
// more jobs must be in time if it knows the speeds. It fails if the speeds are not learned.
func TestInTimeShareOnUnevenVMs(t *testing.T) {
	const days = 4
	share := func(queueName string, learn bool) (sum float64) {
		for seed := range uint64(days) {
			u := newUnevenFleet(t, seed, learn)
			u.simulate()
			sum += u.inTimeShare(queueName)
		}
		return sum / days
	}
	for queueName, atLeast := range map[string]float64{"check": 0.1, "filing": 0.02} {
		without, with := share(queueName, false), share(queueName, true)
		t.Logf("%s in time: %.3f without speeds, %.3f with them", queueName, without, with)
		assert.Assert(t, with >= without+atLeast)
	}
}
