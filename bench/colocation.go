package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/placement"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/throttle"
	"rudderfork.example/rudderfork/usage"
)

// The scenario of the colocation simulation, which advances in steps of one second.
const (
	coloVMs             = 11
	coloVMCPU           = 16_000 // millicores
	coloDuration        = 1800 * time.Second
	coloBaseLatency     = 10 * time.Millisecond // mean latency of the idle service without batch work
	coloTailTarget      = 20 * time.Millisecond // of the service's tail latency
	coloTaskUnits       = 60                    // units of work in a task; a task at full speed does one a second
	coloCheckpointUnits = 10                    // units between two checkpoints
	coloReportDelay     = 2 * time.Second       // until a usage report reaches the leader
	coloWaveInterval    = 120 * time.Second     // between two waves of jobs
	coloDeadline        = 400 * time.Second     // from a job's submission to its deadline
	coloLossAt          = 600 * time.Second     // when a VM is lost; it comes back two minutes later
	coloService         = rudderfork.Service("bestellung")
)

// coloKinds are the kinds of batch work. effect is how much a kind raises the logarithm
// of the service's latency when it uses all CPUs of a VM; use is the CPU that its tasks
// use, as a multiple of the CPU that they declare.
var coloKinds = []struct {
	name   string
	effect float64
	use    float64
}{{"menu", 0.2, 1}, {"prices", 0.6, 0.6}, {"images", 1.5, 1.6}, {"index", 3, 1}}

// coloConfig selects how batch work is placed and throttled.
type coloConfig struct {
	name     string
	scored   bool // use the scored placer, not first fit
	learned  bool // use learned task sizes and slowdowns, not declared sizes
	throttle bool // throttle tasks while the service's tail latency is too high
}

// coloResult is the outcome of one simulation, as clients and owners of jobs see it.
type coloResult struct {
	// A window is one second of one VM's service. Both counts weight each window by the
	// service's load; lateWindows counts those whose tail latency missed the target.
	lateWindows, windows float64
	tails                []time.Duration // tail latency of each window
	unitsDone            float64         // units of batch work done
	evictions, unitsLost float64         // evictions of tasks, and the work that they lost
	jobsMissed, jobs     float64         // jobs that missed their deadline, and all jobs
}

// declaredSizes is a placement.Usage that returns the declared size of every task.
type declaredSizes struct{ *usage.Model }

func (s declaredSizes) Size(_ string, declared rudderfork.Resources) rudderfork.Resources {
	return declared
}

type coloTask struct {
	progress   float64 // units done
	checkpoint int64   // units done at the last checkpoint
}

// coloSim simulates one seed of a configuration.
type coloSim struct {
	cfg            coloConfig
	rng            *rand.Rand
	now            time.Time
	start          time.Time
	state          *state.State
	index          uint64 // of the latest command
	planner        *placement.Planner
	model          *interference.Model
	usage          *usage.Model
	controllers    map[rudderfork.VMID]*throttle.Controller
	tasks          map[rudderfork.TaskID]*coloTask
	deadlines      map[rudderfork.JobID]time.Time
	pendingReports []func()    // usage reports that have not reached the leader, oldest first
	pendingAt      []time.Time // when each of pendingReports arrives
	res            coloResult
}

// runColo simulates one seed of a configuration.
func runColo(cfg coloConfig, seed uint64) coloResult {
	c := &coloSim{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 21)), now: time.Unix(1_000_000, 0), state: state.New(),
		model: interference.New(interference.ServicePrior()), controllers: map[rudderfork.VMID]*throttle.Controller{},
		tasks: map[rudderfork.TaskID]*coloTask{}, deadlines: map[rudderfork.JobID]time.Time{},
	}
	c.start = c.now
	c.usage = usage.New(func() time.Time { return c.now })
	var placer rudderfork.Placer = placement.FirstFit{}
	if cfg.scored {
		placer = placement.NewScored(c.model)
	}
	var u placement.Usage = declaredSizes{c.usage}
	if cfg.learned {
		u = c.usage
	}
	c.planner = placement.NewPlanner(placer, c.model, u, seed)
	for i := range coloVMs {
		c.register(i)
	}
	for c.now.Sub(c.start) < coloDuration {
		c.step()
	}
	for job, due := range c.deadlines {
		if j := c.state.Job(job); due.Before(c.now) && j.Done < j.Spec.Tasks {
			c.res.jobsMissed++
		}
	}
	c.res.jobs = float64(len(c.deadlines))
	return c.res
}

func (c *coloSim) apply(cmd state.Command) {
	c.index++
	cmd.At = rudderfork.Millis(c.now)
	c.state.Apply(c.index, cmd)
}

// register registers the VM with the given number.
func (c *coloSim) register(i int) {
	vm := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
	c.controllers[vm] = &throttle.Controller{}
	c.apply(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: vm, Domain: rudderfork.Domain(fmt.Sprint("d", i%3))}, Services: []rudderfork.Service{coloService},
		Capacity: rudderfork.Resources{CPUMilli: coloVMCPU, MemoryMB: 60_000}, Reserved: rudderfork.Resources{CPUMilli: coloVMCPU / 4},
	}})
}

// step simulates one second.
func (c *coloSim) step() {
	t := c.now.Sub(c.start)
	if t%coloWaveInterval == 0 {
		c.submitWave()
	}
	if t == coloLossAt {
		c.apply(state.Command{Lost: &state.VMLoss{VM: "vm03", Epoch: c.state.VM("vm03").Epoch}})
	}
	if t == coloLossAt+2*time.Minute {
		c.register(3)
	}
	for len(c.pendingReports) > 0 && !c.pendingAt[0].After(c.now) {
		c.pendingReports[0]()
		c.pendingReports, c.pendingAt = c.pendingReports[1:], c.pendingAt[1:]
	}
	for _, v := range c.state.VMs() {
		if v.Live {
			c.stepVM(v, t)
		}
	}
	p := c.planner.PlanRound(c.state, c.now)
	if len(p.Evict.Evictions) > 0 {
		c.res.evictions += float64(len(p.Evict.Evictions))
		c.apply(state.Command{Evict: &p.Evict})
	}
	if len(p.Place.Placements) > 0 {
		c.apply(state.Command{Place: &p.Place})
	}
	c.now = c.now.Add(time.Second)
}

// submitWave submits a few jobs. All declare the same size, which is wrong for some kinds.
func (c *coloSim) submitWave() {
	for i := range 3 + c.rng.IntN(3) {
		k := coloKinds[c.rng.IntN(len(coloKinds))]
		id := rudderfork.JobID(fmt.Sprintf("j%d-%d", c.now.Unix(), i))
		due := c.now.Add(coloDeadline)
		c.deadlines[id] = due
		c.apply(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{
			ID: id, Team: "night", Kind: k.name, Tasks: 8 + c.rng.IntN(8), Units: coloTaskUnits, Attempts: 50,
			Cells: map[string]int64{rudderfork.ColCPU: 2000, rudderfork.ColMemory: 2000, rudderfork.ColDeadline: rudderfork.Millis(due)},
		}}})
	}
}

// serviceLoad returns the share of the service's slots that are in use at time t of the
// simulation.
func serviceLoad(t time.Duration) float64 {
	return 0.45 + 0.3*math.Sin(2*math.Pi*t.Seconds()/coloDuration.Seconds()*2)
}

// stepVM simulates one second of a VM: its tasks, its service and its agent.
func (c *coloSim) stepVM(v *state.VM, t time.Duration) {
	vm := v.Place.VM
	controller := c.controllers[vm]
	var ts []throttle.Task
	for id, task := range c.state.TasksOn(vm) {
		x := throttle.Task{ID: id, Weight: c.state.JobCell(task.Job, rudderfork.ColWeight)}
		if c.cfg.learned {
			x.Slowdown, _ = c.model.Slowdown(coloService, c.kind(id).name, c.now)
		}
		ts = append(ts, x)
	}
	levels := controller.Levels(ts)
	used, effect := 0.0, 0.0
	shares := map[string]float64{}
	for _, x := range ts {
		k := c.kind(x.ID)
		cpu := 2000 * k.use / float64(int(1)<<levels[x.ID])
		if levels[x.ID] == throttle.MaxLevel {
			cpu = 0
		}
		used += cpu
		effect += k.effect * cpu / coloVMCPU
		shares[k.name] += cpu / coloVMCPU
	}
	busy := serviceLoad(t)
	// Tasks that use more CPU than the service leaves slow each other down, and the service.
	free := coloVMCPU * (1 - 0.4*busy)
	overload := max(0, used/free-1)
	mean := time.Duration(float64(coloBaseLatency) * math.Exp(0.3*busy+effect+2*overload+0.08*c.rng.NormFloat64()))
	tail := time.Duration(1.45 * float64(mean))
	c.res.windows += busy
	if tail > coloTailTarget {
		c.res.lateWindows += busy
	}
	c.res.tails = append(c.res.tails, tail)
	pressure := float64(tail) / float64(coloTailTarget)
	if c.cfg.throttle {
		controller.Observe(pressure, len(ts), c.now)
	}
	c.runTasks(vm, levels, 1/(1+overload))
	c.report(vm, mean, pressure, busy, shares, levels)
}

// kind returns the entry of coloKinds for a task.
func (c *coloSim) kind(id rudderfork.TaskID) (k struct {
	name   string
	effect float64
	use    float64
},
) {
	name := c.state.Job(c.state.Task(id).Job).Spec.Kind
	for _, k := range coloKinds {
		if k.name == name {
			return k
		}
	}
	return k
}

// runTasks simulates one second of a VM's tasks. On vm05 every task fails.
func (c *coloSim) runTasks(vm rudderfork.VMID, levels map[rudderfork.TaskID]int, speed float64) {
	var reports []rudderfork.Report
	for id, task := range c.state.TasksOn(vm) {
		p := c.tasks[id]
		if p == nil {
			p = &coloTask{}
			c.tasks[id] = p
		}
		r := rudderfork.Report{Task: id, Token: task.Token}
		if lost := p.progress - float64(task.Checkpoint); lost > 0 && task.Since == rudderfork.Millis(c.now) {
			p.progress = float64(task.Checkpoint)
		}
		switch {
		case vm == "vm05":
			r.Outcome = rudderfork.OutcomeFailed
		case task.Phase == rudderfork.TaskEvicting:
			r.Outcome, r.Checkpoint = rudderfork.OutcomeStopped, int64(p.progress)
			c.res.unitsLost += p.progress - math.Floor(p.progress)
		default:
			if levels[id] < throttle.MaxLevel {
				step := speed / float64(int(1)<<levels[id])
				p.progress += step
				c.res.unitsDone += step
			}
			p.checkpoint = int64(p.progress) / coloCheckpointUnits * coloCheckpointUnits
			if p.progress < coloTaskUnits {
				continue
			}
			r.Outcome = rudderfork.OutcomeDone
		}
		reports = append(reports, r)
	}
	if len(reports) > 0 {
		c.apply(state.Command{Reports: &state.Reports{VM: vm, Reports: reports}})
	}
}

// report sends a VM's usage to the leader, which receives it after coloReportDelay.
func (c *coloSim) report(vm rudderfork.VMID, mean time.Duration, pressure, busy float64, shares map[string]float64, levels map[rudderfork.TaskID]int) {
	at := c.now
	exhausted := c.cfg.throttle && c.controllers[vm].Exhausted(at)
	type taskUsage struct {
		id        rudderfork.TaskID
		kind      string
		used      float64 // CPU in millicores
		unsaved   int64   // units done since the last checkpoint
		throttled bool
	}
	var tasks []taskUsage
	for id := range c.state.TasksOn(vm) {
		k := c.kind(id)
		if p := c.tasks[id]; p != nil {
			tasks = append(tasks, taskUsage{id, k.name, 2000 * k.use, int64(p.progress) - p.checkpoint, levels[id] > 0})
		}
	}
	c.pendingAt = append(c.pendingAt, at.Add(coloReportDelay))
	c.pendingReports = append(c.pendingReports, func() {
		c.model.Observe(interference.Sample{Service: coloService, At: at, Latency: mean, Busy: busy, Shares: shares})
		if c.cfg.throttle {
			c.usage.ObservePressure(vm, pressure, exhausted)
		}
		for _, s := range tasks {
			c.usage.ObserveTask(s.id, s.kind, rudderfork.Resources{CPUMilli: 2000, MemoryMB: 2000}, rudderfork.Resources{CPUMilli: int64(s.used), MemoryMB: 2000}, s.unsaved, s.throttled)
		}
	})
}

// Colocation compares ways to place and throttle batch work on the VMs of a service.
func Colocation(w io.Writer) {
	printHeading(w, "placing and throttling: 11 VMs, load shifts, waves of jobs, sizes off by 0.6 to 1.6, usage 2 s late, a VM lost, a VM that fails all tasks; %d seeds", numSeeds)
	fmt.Fprintf(w, "%-34s %-22s %-20s %-20s %-26s %-20s %-16s %s\n", "way", "late windows %", "tail p50 ms", "tail p99 ms", "batch units done", "evictions", "units lost", "jobs late %")
	for _, cfg := range []coloConfig{
		{"first fit, declared, no throttle", false, false, false},
		{"scored, learned, no throttle", true, true, false},
		{"first fit, declared, throttle", false, false, true},
		{"first fit, learned, throttle", false, true, true},
		{"scored, declared, throttle", true, false, true},
		{"scored, learned, throttle (ours)", true, true, true},
	} {
		var late, p50, p99, done, ev, lost, missed samples
		for seed := range uint64(numSeeds) {
			r := runColo(cfg, seed)
			late = append(late, 100*r.lateWindows/r.windows)
			p50 = append(p50, ms(quantile(r.tails, 0.5)))
			p99 = append(p99, ms(quantile(r.tails, 0.99)))
			done = append(done, r.unitsDone)
			ev = append(ev, r.evictions)
			lost = append(lost, r.unitsLost)
			missed = append(missed, 100*r.jobsMissed/r.jobs)
		}
		fmt.Fprintf(w, "%-34s %-22v %-20v %-20v %-26v %-20v %-16v %v\n", cfg.name, late, p50, p99, done, ev, lost, missed)
	}
}
