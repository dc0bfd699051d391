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

// The evening that the colocation driver plays, in steps of a second.
const (
	coloVMs     = 11
	coloCPU     = 16_000
	coloRun     = 1800 * time.Second
	coloBase    = 10 * time.Millisecond
	coloTarget  = 20 * time.Millisecond
	coloUnits   = 60 // seconds of work of a task at full speed
	coloSave    = 10 // units between checkpoints
	coloLag     = 2 * time.Second
	coloWave    = 120 * time.Second // between waves of jobs
	coloDue     = 400 * time.Second // from a job's submission to its deadline
	coloLost    = 600 * time.Second // when a VM fails, for two minutes
	coloService = rudderfork.Service("bestellung")
)

// coloKinds are the kinds of batch work: how much each slows the service when it
// holds all processors, and what it uses over what it declares.
var coloKinds = []struct {
	name   string
	effect float64
	use    float64
}{{"menu", 0.2, 1}, {"prices", 0.6, 0.6}, {"images", 1.5, 1.6}, {"index", 3, 1}}

// coloConfig is one way to place and throttle.
type coloConfig struct {
	name     string
	scored   bool // ours, or first fit
	learned  bool // sizes as seen, or as declared
	throttle bool
}

// coloResult is what users measure.
type coloResult struct {
	late, windows    float64 // windows whose tail missed the target, weighted by load
	tails            []time.Duration
	done             float64 // units that count
	evictions, lost  float64
	missed, finished float64
}

// sizes is a placement.Usage that takes sizes as declared.
type sizes struct{ *usage.Model }

func (s sizes) Size(_ string, declared rudderfork.Resources) rudderfork.Resources { return declared }

type coloTask struct {
	progress float64
	saved    int64
}

type colo struct {
	cfg         coloConfig
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	s           *state.State
	index       uint64
	planner     *placement.Planner
	model       *interference.Model
	usage       *usage.Model
	controllers map[rudderfork.VMID]*throttle.Controller
	tasks       map[rudderfork.TaskID]*coloTask
	due         map[rudderfork.JobID]time.Time
	later       []func() // reports on their way, by second
	lateAt      []time.Time
	res         coloResult
}

func runColo(cfg coloConfig, seed uint64) coloResult {
	c := &colo{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 21)), now: time.Unix(1_000_000, 0), s: state.New(),
		model: interference.New(interference.ServicePrior()), controllers: map[rudderfork.VMID]*throttle.Controller{},
		tasks: map[rudderfork.TaskID]*coloTask{}, due: map[rudderfork.JobID]time.Time{},
	}
	c.start = c.now
	c.usage = usage.New(func() time.Time { return c.now })
	var placer rudderfork.Placer = placement.FirstFit{}
	if cfg.scored {
		placer = placement.NewScored(c.model)
	}
	var u placement.Usage = sizes{c.usage}
	if cfg.learned {
		u = c.usage
	}
	c.planner = placement.NewPlanner(placer, c.model, u, seed)
	for i := range coloVMs {
		c.register(i)
	}
	for c.now.Sub(c.start) < coloRun {
		c.step()
	}
	for job, due := range c.due {
		if j := c.s.Job(job); due.Before(c.now) && j.Done < j.Spec.Tasks {
			c.res.missed++
		}
	}
	c.res.finished = float64(len(c.due))
	return c.res
}

func (c *colo) do(cmd state.Command) {
	c.index++
	cmd.At = rudderfork.Millis(c.now)
	c.s.Apply(c.index, cmd)
}

func (c *colo) register(i int) {
	vm := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
	c.controllers[vm] = &throttle.Controller{}
	c.do(state.Command{Register: &state.Register{
		Place: rudderfork.Place{VM: vm, Domain: rudderfork.Domain(fmt.Sprint("d", i%3))}, Services: []rudderfork.Service{coloService},
		Capacity: rudderfork.Resources{CPUMilli: coloCPU, MemoryMB: 60_000}, Reserved: rudderfork.Resources{CPUMilli: coloCPU / 4},
	}})
}

func (c *colo) step() {
	t := c.now.Sub(c.start)
	if t%coloWave == 0 {
		c.submitWave()
	}
	if t == coloLost {
		c.do(state.Command{Lost: &state.VMLoss{VM: "vm03", Epoch: c.s.VM("vm03").Epoch}})
	}
	if t == coloLost+2*time.Minute {
		c.register(3)
	}
	for len(c.later) > 0 && !c.lateAt[0].After(c.now) {
		c.later[0]()
		c.later, c.lateAt = c.later[1:], c.lateAt[1:]
	}
	for _, v := range c.s.VMs() {
		if v.Live {
			c.stepVM(v, t)
		}
	}
	p := c.planner.PlanRound(c.s, c.now)
	if len(p.Evict.Evictions) > 0 {
		c.res.evictions += float64(len(p.Evict.Evictions))
		c.do(state.Command{Evict: &p.Evict})
	}
	if len(p.Place.Placements) > 0 {
		c.do(state.Command{Place: &p.Place})
	}
	c.now = c.now.Add(time.Second)
}

// submitWave submits a few jobs whose sizes are off.
func (c *colo) submitWave() {
	for i := range 3 + c.rng.IntN(3) {
		k := coloKinds[c.rng.IntN(len(coloKinds))]
		id := rudderfork.JobID(fmt.Sprintf("j%d-%d", c.now.Unix(), i))
		due := c.now.Add(coloDue)
		c.due[id] = due
		c.do(state.Command{Submit: &state.Submit{Spec: rudderfork.JobSpec{
			ID: id, Team: "night", Kind: k.name, Tasks: 8 + c.rng.IntN(8), Units: coloUnits, Attempts: 50,
			Cells: map[string]int64{rudderfork.ColCPU: 2000, rudderfork.ColMemory: 2000, rudderfork.ColDeadline: rudderfork.Millis(due)},
		}}})
	}
}

// load is the share of the service's slots in use over the evening.
func load(t time.Duration) float64 {
	return 0.45 + 0.3*math.Sin(2*math.Pi*t.Seconds()/coloRun.Seconds()*2)
}

// stepVM runs one second of a VM: its tasks, its service, its agent.
func (c *colo) stepVM(v *state.VM, t time.Duration) {
	vm := v.Place.VM
	controller := c.controllers[vm]
	var ts []throttle.Task
	for id, task := range c.s.TasksOn(vm) {
		x := throttle.Task{ID: id, Weight: c.s.JobCell(task.Job, rudderfork.ColWeight)}
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
		effect += k.effect * cpu / coloCPU
		shares[k.name] += cpu / coloCPU
	}
	busy := load(t)
	// Work past the processors that the service leaves is shared out, and hurts.
	free := coloCPU * (1 - 0.4*busy)
	over := max(0, used/free-1)
	mean := time.Duration(float64(coloBase) * math.Exp(0.3*busy+effect+2*over+0.08*c.rng.NormFloat64()))
	tail := time.Duration(1.45 * float64(mean))
	c.res.windows += busy
	if tail > coloTarget {
		c.res.late += busy
	}
	c.res.tails = append(c.res.tails, tail)
	pressure := float64(tail) / float64(coloTarget)
	if c.cfg.throttle {
		controller.Observe(pressure, len(ts), c.now)
	}
	c.runTasks(vm, levels, 1/(1+over))
	c.report(vm, mean, pressure, busy, shares, levels)
}

func (c *colo) kind(id rudderfork.TaskID) (k struct {
	name   string
	effect float64
	use    float64
},
) {
	name := c.s.Job(c.s.Task(id).Job).Spec.Kind
	for _, k := range coloKinds {
		if k.name == name {
			return k
		}
	}
	return k
}

// runTasks moves the tasks of a VM on by a second. vm05 fails all it starts.
func (c *colo) runTasks(vm rudderfork.VMID, levels map[rudderfork.TaskID]int, speed float64) {
	var reports []rudderfork.Report
	for id, task := range c.s.TasksOn(vm) {
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
			c.res.lost += p.progress - math.Floor(p.progress)
		default:
			if levels[id] < throttle.MaxLevel {
				step := speed / float64(int(1)<<levels[id])
				p.progress += step
				c.res.done += step
			}
			p.saved = int64(p.progress) / coloSave * coloSave
			if p.progress < coloUnits {
				continue
			}
			r.Outcome = rudderfork.OutcomeDone
		}
		reports = append(reports, r)
	}
	if len(reports) > 0 {
		c.do(state.Command{Reports: &state.Reports{VM: vm, Reports: reports}})
	}
}

// report sends usage, which arrives late.
func (c *colo) report(vm rudderfork.VMID, mean time.Duration, pressure, busy float64, shares map[string]float64, levels map[rudderfork.TaskID]int) {
	at := c.now
	exhausted := c.cfg.throttle && c.controllers[vm].Exhausted(at)
	type seen struct {
		id        rudderfork.TaskID
		kind      string
		used      float64
		unsaved   int64
		throttled bool
	}
	var ss []seen
	for id := range c.s.TasksOn(vm) {
		k := c.kind(id)
		if p := c.tasks[id]; p != nil {
			ss = append(ss, seen{id, k.name, 2000 * k.use, int64(p.progress) - p.saved, levels[id] > 0})
		}
	}
	c.lateAt = append(c.lateAt, at.Add(coloLag))
	c.later = append(c.later, func() {
		c.model.Observe(interference.Sample{Service: coloService, At: at, Latency: mean, Busy: busy, Shares: shares})
		if c.cfg.throttle {
			c.usage.ObservePressure(vm, pressure, exhausted)
		}
		for _, s := range ss {
			c.usage.ObserveTask(s.id, s.kind, rudderfork.Resources{CPUMilli: 2000, MemoryMB: 2000}, rudderfork.Resources{CPUMilli: int64(s.used), MemoryMB: 2000}, s.unsaved, s.throttled)
		}
	})
}

// Colocation compares ways to place and throttle batch work beside a service.
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
			late = append(late, 100*r.late/r.windows)
			p50 = append(p50, ms(quantile(r.tails, 0.5)))
			p99 = append(p99, ms(quantile(r.tails, 0.99)))
			done = append(done, r.done)
			ev = append(ev, r.evictions)
			lost = append(lost, r.lost)
			missed = append(missed, 100*r.missed/r.finished)
		}
		fmt.Fprintf(w, "%-34s %-22v %-20v %-20v %-26v %-20v %-16v %v\n", cfg.name, late, p50, p99, done, ev, lost, missed)
	}
}
