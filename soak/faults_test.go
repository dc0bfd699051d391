//go:build proof

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rudderfork.example/rudderfork/standin/executor"
)

// fault is one of the schedule.
type fault struct {
	at, duration time.Duration
	kind         string
	cores        int   // core processes it takes, of those that draw decides on
	draw         int   // from the seed
	machines     []int // side machines it takes
}

func (f fault) String() string {
	return fmt.Sprintf("%s for %v, cores %d from %d, machines %v", f.kind, f.duration, f.cores, f.draw, f.machines)
}

// The faultKinds, the heavier ones less often.
var faultKinds = []string{
	"kill-cores", "kill-cores", "lose-disks", "lose-disks", "kill-all-cores", "stop-leader", "stop-leader", "stop-followers",
	"kill-agents", "kill-agents", "crash-executors", "crash-executors", "flap-executors", "flap-executors",
	"sick-executors", "sick-executors", "late-executors", "late-executors", "disown-calls", "stutter", "stutter", "lose-machines", "lose-machines",
}

const (
	firstGroup         = 5 * time.Second
	groupSpan          = 5 * time.Second
	minFaultFree       = 13 * time.Second
	powerLossBeforeEnd = 16 * time.Second // the end of the traffic
)

// drawSchedule draws a schedule: storms of overlapping faults with calm between them, and at last,
// if asked for, the loss of two disks with all other processes killed.
func drawSchedule(cfg setup) (faults []fault) {
	rnd := rand.New(rand.NewPCG(cfg.seed, 1))
	ms := func(minMS, span int) time.Duration { return time.Duration(minMS+rnd.IntN(span)) * time.Millisecond }
	powerLossAt := cfg.duration - powerLossBeforeEnd
	for at := firstGroup; at+groupSpan < powerLossAt; {
		end := at
		for range 1 + rnd.IntN(5) {
			f := fault{at: at + ms(0, int(groupSpan.Milliseconds())), kind: cfg.kinds[rnd.IntN(len(cfg.kinds))], duration: ms(200, 4000), draw: rnd.IntN(1000)}
			f.cores = 1 + rnd.IntN(maxLostDisks)
			f.machines = rnd.Perm(cfg.machines)[:1+rnd.IntN(max(1, cfg.machines/3))]
			switch f.kind {
			case "kill-all-cores":
				f.duration = ms(200, 1500)
			case "stop-leader", "stop-followers":
				f.duration = ms(1000, 9000)
			case "sick-executors":
				f.duration, f.machines = ms(2000, 6000), f.machines[:min(3, len(f.machines))]
			case "lose-machines":
				f.duration = ms(1000, 12000)
			case "flap-executors":
				f.duration = ms(4000, 6000)
			}
			f.duration = min(f.duration, powerLossAt-f.at)
			faults, end = append(faults, f), max(end, f.at+f.duration)
		}
		at = end + minFaultFree + ms(0, 6000)
	}
	if cfg.powerLoss {
		faults = append(faults, fault{at: powerLossAt, duration: ms(500, 1000), kind: "dark", cores: maxLostDisks, draw: rnd.IntN(1000)})
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// inject carries out a schedule, and returns when all is back.
func (s *site) inject(faults []fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(s.checker.startedAt.Add(f.at)))
		wg.Go(func() { s.injectOne(f) })
	}
	wg.Wait()
}

func (s *site) injectOne(f fault) {
	s.checker.logFault(true, "+ "+f.String())
	heal := s.apply(f)
	time.Sleep(f.duration)
	heal()
	s.checker.logFault(false, "- "+f.String())
}

// pickCores returns the core machines that a fault takes; the first is the leader at times.
func (s *site) pickCores(f fault) (list []int) {
	first := f.draw % coreCount
	if f.draw%2 == 0 {
		first = s.leader()
	}
	step := 1 + f.draw%(coreCount-1)
	for i := range f.cores {
		list = append(list, (first+i*step)%coreCount)
	}
	return list
}

// apply begins a fault and returns what ends it.
func (s *site) apply(f fault) (heal func()) {
	var ms []*machine
	for _, i := range f.machines {
		ms = append(ms, s.machines[i])
	}
	switch f.kind {
	case "kill-cores":
		return s.kill(s.coreProcesses(s.pickCores(f)))
	case "lose-disks":
		return s.loseDisks(s.pickCores(f), nil)
	case "kill-all-cores":
		s.checker.noteAllKilled()
		return s.kill(s.coreProcesses([]int{0, 1, 2, 3, 4}))
	case "stop-leader":
		return s.freeze([]int{s.leader()})
	case "stop-followers":
		l := s.leader()
		return s.freeze([]int{(l + 1) % coreCount, (l + 2) % coreCount, (l + 3) % coreCount})
	case "kill-agents":
		return s.kill(s.agentProcesses(ms))
	case "crash-executors":
		return s.crashAll(ms)
	case "lose-machines":
		agents, executors := s.kill(s.agentProcesses(ms)), s.crashAll(ms)
		return func() { agents(); executors() }
	case "flap-executors":
		return s.flap(ms, f)
	case "sick-executors":
		return onEach(ms, func(m *machine) { m.failsAll.Store(true) }, func(m *machine) { m.failsAll.Store(false) })
	case "stutter":
		return onEach(ms, s.duplicateAnswers, func(m *machine) { m.duplicates.Store(false) })
	case "late-executors":
		return onEach(ms, s.delayOrders, func(m *machine) { s.Execs[m.index].SetFate(usualFate) })
	case "disown-calls":
		return onEach(ms, s.rejectOneCall, func(*machine) {})
	case "dark":
		return s.losePower(s.pickCores(f))
	}
	panic("no fault " + f.kind)
}

// onEach begins something on machines, and returns what ends it there.
func onEach(ms []*machine, begin, end func(*machine)) (heal func()) {
	for _, m := range ms {
		begin(m)
	}
	return func() {
		for _, m := range ms {
			end(m)
		}
	}
}

func (s *site) coreProcesses(list []int) (ps []process) {
	for _, i := range list {
		ps = append(ps, s.coreProcess(i))
	}
	return ps
}

func (s *site) agentProcesses(ms []*machine) (ps []process) {
	for _, m := range ms {
		ps = append(ps, s.agentProcess(m))
	}
	return ps
}

func (s *site) crashAll(ms []*machine) (heal func()) { return onEach(ms, s.crash, s.restart) }

// loseDisks kills core machines and others, and loses the disks of the former; but if the
// group is not whole yet from a loss before, they are only killed.
func (s *site) loseDisks(list []int, others []process) (heal func()) {
	s.disksMu.Lock()
	defer s.disksMu.Unlock()
	allVoters := s.HasAllVoters()
	heal = s.kill(append(s.coreProcesses(list), others...))
	for _, i := range list {
		if allVoters {
			_ = os.RemoveAll(s.DataDir(i)) // what is left shows in its log
		}
	}
	s.checker.logf("  disks of cores %v, counted from 0, lost: %v", list, allVoters)
	return heal
}

// duplicateAnswers has an executor answer each call twice, and begin another life while its
// connections stay.
func (s *site) duplicateAnswers(m *machine) {
	m.duplicates.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		m.incarnations++
		s.Execs[m.index].Restart(fmt.Sprintf("i-%d-%d", m.index+1, m.incarnations))
	}
}

// losePower kills every process at once, the executors' work with them, and loses disks.
func (s *site) losePower(list []int) (heal func()) {
	var others []process
	for i := range coreCount {
		if !slices.Contains(list, i) {
			others = append(others, s.coreProcess(i))
		}
	}
	for i := range entryCount {
		others = append(others, s.entryProcess(i))
	}
	s.checker.noteAllKilled()
	processes, executors := s.loseDisks(list, append(others, s.agentProcesses(s.machines)...)), s.crashAll(s.machines)
	return func() { processes(); executors() }
}

// freeze makes core processes fall silent.
func (s *site) freeze(list []int) (heal func()) {
	signal := func(sig os.Signal) {
		for _, i := range list {
			s.Signal(s.coreProcess(i).node, sig)
		}
	}
	s.checker.logf("  stopped: %v, counted from 0", list)
	signal(syscall.SIGSTOP)
	return func() { signal(syscall.SIGCONT) }
}

// flap has executors go down and come up by turns.
func (s *site) flap(ms []*machine, f fault) (heal func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range ms {
		rnd := rand.New(rand.NewPCG(s.seed, uint64(f.draw*1000+m.index)))
		wg.Go(func() {
			for next := s.crash; ; {
				next(m)
				next = s.restart
				if rnd.IntN(2) == 0 {
					next = s.crash
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(500+rnd.IntN(1500)) * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
		onEach(ms, s.restart, nil)
	}
}

// delayOrders has an executor leave orders unanswered, and carry them out later.
func (s *site) delayOrders(m *machine) {
	s.Execs[m.index].SetFate(func(call string) executor.Fate {
		if call == "start" || call == "stop" {
			return executor.Delayed
		}
		return executor.Answered
	})
}

// rejectOneCall has an executor answer one call as another life answers, as one does that it
// reaches by a connection to the life before.
func (s *site) rejectOneCall(m *machine) {
	var rejected atomic.Bool
	s.Execs[m.index].SetFate(func(call string) executor.Fate {
		if rejected.CompareAndSwap(false, true) {
			return executor.RejectedAsStale
		}
		return usualFate(call)
	})
}
