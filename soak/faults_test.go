//go:build proof

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"rudderfork.example/rudderfork/standin/executor"
)

// fault is one of the schedule.
type fault struct {
	at, lasts time.Duration
	kind      string
	cores     int   // core processes it takes, of those that draw decides on
	draw      int   // from the seed
	machines  []int // side machines it takes
}

func (f fault) String() string {
	return fmt.Sprintf("%s for %v, cores %d from %d, machines %v", f.kind, f.lasts, f.cores, f.draw, f.machines)
}

// The kinds, the heavier ones less often.
var kinds = []string{
	"kill cores", "kill cores", "lose disks", "lose disks", "kill all cores", "stop leader", "stop leader", "stop followers",
	"kill agents", "kill agents", "crash executors", "crash executors", "flap executors", "flap executors",
	"sick executors", "sick executors", "late executors", "late executors", "lose machines", "lose machines",
}

const (
	firstStorm = 5 * time.Second
	stormSpan  = 5 * time.Second
	leastCalm  = 13 * time.Second
	darkBefore = 16 * time.Second // the end of the traffic
)

// plan draws a schedule: storms of overlapping faults with calm between them, and at last
// the loss of two disks with all other processes killed.
func plan(rnd *rand.Rand, length time.Duration, machines int) (fs []fault) {
	ms := func(least, span int) time.Duration { return time.Duration(least+rnd.IntN(span)) * time.Millisecond }
	dark := length - darkBefore
	for at := firstStorm; at+stormSpan < dark; {
		end := at
		for range 1 + rnd.IntN(5) {
			f := fault{at: at + ms(0, int(stormSpan.Milliseconds())), kind: kinds[rnd.IntN(len(kinds))], lasts: ms(200, 4000), draw: rnd.IntN(1000)}
			f.cores = 1 + rnd.IntN(maxLost)
			f.machines = rnd.Perm(machines)[:1+rnd.IntN(max(1, machines/3))]
			switch f.kind {
			case "kill all cores":
				f.lasts = ms(200, 1500)
			case "stop leader", "stop followers":
				f.lasts = ms(1000, 9000)
			case "sick executors":
				f.lasts, f.machines = ms(2000, 6000), f.machines[:min(3, len(f.machines))]
			case "lose machines":
				f.lasts = ms(1000, 12000)
			case "flap executors":
				f.lasts = ms(4000, 6000)
			}
			f.lasts = min(f.lasts, dark-f.at)
			fs, end = append(fs, f), max(end, f.at+f.lasts)
		}
		at = end + leastCalm + ms(0, 6000)
	}
	fs = append(fs, fault{at: dark, lasts: ms(500, 1000), kind: "dark", cores: maxLost, draw: rnd.IntN(1000)})
	slices.SortFunc(fs, func(a, b fault) int { return int(a.at - b.at) })
	return fs
}

// inject carries out a schedule, and returns when all is back.
func (s *site) inject(fs []fault) {
	var wait sync.WaitGroup
	for _, f := range fs {
		time.Sleep(time.Until(s.watch.begin.Add(f.at)))
		wait.Go(func() { s.carryOut(f) })
	}
	wait.Wait()
}

func (s *site) carryOut(f fault) {
	s.watch.fault(true, "+ "+f.String())
	back := s.strike(f)
	time.Sleep(f.lasts)
	back()
	s.watch.fault(false, "- "+f.String())
}

// pick returns the core processes that a fault takes; the first is the leader at times.
func (s *site) pick(f fault) (ps []*process) {
	first := f.draw % cores
	if l := s.leader(); l >= 0 && f.draw%2 == 0 {
		first = l
	}
	for i := range f.cores {
		ps = append(ps, s.cores[(first+i*(1+f.draw%(cores-1)))%cores])
	}
	return slices.Compact(ps)
}

// strike begins a fault and returns what ends it.
func (s *site) strike(f fault) (back func()) {
	var ps []*process
	var ms []*machine
	for _, i := range f.machines {
		ms = append(ms, s.machines[i])
	}
	switch f.kind {
	case "kill cores", "lose disks":
		ps = s.pick(f)
		lose := f.kind == "lose disks" && s.whole()
		for _, p := range ps {
			p.kill()
			if lose {
				_ = os.RemoveAll(p.data) // what is left shows in its log
			}
		}
		s.watch.say("  %s, disks lost: %v", names(ps), lose)
	case "kill all cores":
		ps = s.cores
		killAll(ps)
		s.watch.killedAll()
	case "stop leader", "stop followers":
		return s.stop(f.kind == "stop leader")
	case "kill agents":
		for _, m := range ms {
			ps = append(ps, m.agent)
		}
		killAll(ps)
		ms = nil
	case "crash executors":
		s.crashAll(ms)
	case "lose machines":
		for _, m := range ms {
			ps = append(ps, m.agent)
		}
		killAll(ps)
		s.crashAll(ms)
	case "flap executors":
		return s.flap(ms, f)
	case "sick executors", "late executors":
		return s.impair(ms, f)
	case "dark":
		ms = s.machines
		ps = s.dark(f)
	}
	return func() { s.again(ps, ms) }
}

func names(ps []*process) (list []string) {
	for _, p := range ps {
		list = append(list, p.node)
	}
	return list
}

func killAll(ps []*process) {
	var wait sync.WaitGroup
	for _, p := range ps {
		wait.Go(p.kill)
	}
	wait.Wait()
}

func (s *site) crashAll(ms []*machine) {
	for _, m := range ms {
		s.crash(m)
	}
}

// again starts what was ended.
func (s *site) again(ps []*process, ms []*machine) {
	for _, p := range ps {
		if err := s.start(p, false); err != nil {
			s.watch.say("  %s does not start: %v", p.node, err)
		}
	}
	for _, m := range ms {
		if err := s.up(m); err != nil {
			s.watch.say("  executor %d does not start: %v", m.index+1, err)
		}
	}
}

// stop makes the leader, or three others, fall silent.
func (s *site) stop(leader bool) (back func()) {
	l := max(0, s.leader())
	ps := []*process{s.cores[l]}
	if !leader {
		ps = nil
		for i := range 3 {
			ps = append(ps, s.cores[(l+1+i)%cores])
		}
	}
	s.watch.say("  stopped: %v", names(ps))
	for _, p := range ps {
		p.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, p := range ps {
			p.signal(syscall.SIGCONT)
		}
	}
}

// flap has executors go down and come up by turns.
func (s *site) flap(ms []*machine, f fault) (back func()) {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range ms {
		rnd := rand.New(rand.NewPCG(s.seed, uint64(f.draw*1000+m.index)))
		wait.Go(func() {
			for up := false; ; up = !up {
				if up {
					s.again(nil, []*machine{m})
				} else {
					s.crash(m)
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(500+rnd.IntN(2000)) * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(stop)
		wait.Wait()
		s.again(nil, ms)
	}
}

// impair has executors fail all that they start, or leave orders unanswered and carry
// them out later.
func (s *site) impair(ms []*machine, f fault) (back func()) {
	for _, m := range ms {
		if f.kind == "sick executors" {
			m.sick.Store(true)
			continue
		}
		m.exec.SetFate(func(call string) executor.Fate {
			if call == "start" || call == "stop" {
				return executor.Postponed
			}
			return executor.Answered
		})
	}
	return func() {
		for _, m := range ms {
			if f.kind == "sick executors" {
				m.sick.Store(false)
			} else {
				m.exec.SetFate(s.usual())
			}
		}
	}
}

// dark kills every process at once and loses the disks of core processes.
func (s *site) dark(f fault) (ps []*process) {
	lost := s.pick(f)
	whole := s.whole()
	for _, m := range s.machines {
		ps = append(ps, m.agent)
	}
	ps = append(append(ps, s.cores...), s.entries...)
	killAll(ps)
	s.crashAll(s.machines)
	s.watch.killedAll()
	for _, p := range lost {
		if whole {
			_ = os.RemoveAll(p.data) // what is left shows in its log
		}
	}
	s.watch.say("  dark; disks of %v lost: %v", names(lost), whole)
	return ps
}
