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

// fault is one fault of the schedule.
type fault struct {
	at, duration time.Duration // at is the time from the start of the run
	kind         string
	cores        int   // number of core processes it hits, for kinds that hit some of them
	draw         int   // random number that selects these processes
	machines     []int // indexes of the side machines it hits
}

func (f fault) String() string {
	return fmt.Sprintf("%s for %v, cores %d from %d, machines %v", f.kind, f.duration, f.cores, f.draw, f.machines)
}

// faultKinds lists the kinds of faults that are drawn. The less severe ones are listed
// twice, so they are drawn twice as often.
var faultKinds = []string{
	"kill-cores", "kill-cores", "lose-disks", "lose-disks", "kill-all-cores", "stop-leader", "stop-leader", "stop-followers",
	"kill-agents", "kill-agents", "crash-executors", "crash-executors", "flap-executors", "flap-executors",
	"sick-executors", "sick-executors", "late-executors", "late-executors", "disown-calls", "stutter", "stutter", "lose-machines", "lose-machines",
}

const (
	firstGroup         = 5 * time.Second  // start of the first group of faults
	groupSpan          = 5 * time.Second  // the faults of a group start within this time
	minFaultFree       = 13 * time.Second // least time without faults between two groups
	powerLossBeforeEnd = 16 * time.Second // from the power loss to the end of the traffic; all other faults end before it
)

// drawSchedule draws a schedule of faults from the seed: groups of overlapping faults with
// fault-free times between them and, if cfg.powerLoss is set, a final power loss that
// kills all processes and loses two disks.
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

// inject carries out a schedule, and returns when all faults are healed.
func (s *site) inject(faults []fault) {
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(s.checker.startedAt.Add(f.at)))
		wg.Go(func() { s.injectOne(f) })
	}
	wg.Wait()
}

// injectOne starts a fault and heals it after its duration.
func (s *site) injectOne(f fault) {
	s.checker.logFault(true, "+ "+f.String())
	heal := s.apply(f)
	time.Sleep(f.duration)
	heal()
	s.checker.logFault(false, "- "+f.String())
}

// pickCores returns the indexes of the core processes that a fault hits. The first one is
// the leader if f.draw is even.
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

// apply starts a fault and returns a function that heals it.
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
		return onEach(ms, s.delayOrders, func(m *machine) { s.Execs[m.index].SetDelivery(usualDelivery) })
	case "disown-calls":
		return onEach(ms, s.rejectOneCall, func(*machine) {})
	case "dark":
		return s.losePower(s.pickCores(f))
	}
	panic("unknown kind of fault: " + f.kind)
}

// onEach calls begin for each machine, and returns a function that calls end for each.
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

// loseDisks kills the given core processes and others, and removes the data of the core
// processes. It only kills them if the group does not have all its voters back after an
// earlier loss.
func (s *site) loseDisks(list []int, others []process) (heal func()) {
	s.disksMu.Lock()
	defer s.disksMu.Unlock()
	allVoters := s.HasAllVoters()
	heal = s.kill(append(s.coreProcesses(list), others...))
	for _, i := range list {
		if allVoters {
			_ = os.RemoveAll(s.DataDir(i)) // leftover data shows in the log of the process
		}
	}
	s.checker.logf("  disks of cores %v, counted from 0, lost: %v", list, allVoters)
	return heal
}

// duplicateAnswers has an executor send each answer twice, and starts a new incarnation of
// it while its connections stay open.
func (s *site) duplicateAnswers(m *machine) {
	m.duplicates.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		m.incarnations++
		s.Execs[m.index].Restart(fmt.Sprintf("i-%d-%d", m.index+1, m.incarnations))
	}
}

// losePower kills all processes and crashes all executors at once, and loses the disks of
// the given core processes.
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

// freeze suspends core processes with SIGSTOP.
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

// flap crashes executors, then crashes or restarts each of them at random intervals.
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

// delayOrders has an executor leave start and stop calls unanswered, and carry them out
// later.
func (s *site) delayOrders(m *machine) {
	s.Execs[m.index].SetDelivery(func(call string) executor.Delivery {
		if call == "start" || call == "stop" {
			return executor.Delayed
		}
		return executor.Answered
	})
}

// rejectOneCall has an executor reject one call as stale, as it rejects a call on a
// connection that was opened to its previous incarnation.
func (s *site) rejectOneCall(m *machine) {
	var rejected atomic.Bool
	s.Execs[m.index].SetDelivery(func(call string) executor.Delivery {
		if rejected.CompareAndSwap(false, true) {
			return executor.RejectedAsStale
		}
		return usualDelivery(call)
	})
}
