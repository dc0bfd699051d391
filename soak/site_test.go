//go:build proof

package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/platform/standin"
	"rudderfork.example/rudderfork/standin/executor"
)

const (
	coreCount    = 5
	entryCount   = 2
	maxLostDisks = 2    // core disks that may be lost at once
	machineCPU   = 4000 // of a machine
)

// site is one deployment of real processes on loopback.
type site struct {
	*standin.Site
	dir      string
	seed     uint64
	checker  *checker
	machines []*machine
	disksMu  sync.Mutex // held while some are lost
}

// machine is a side machine: an agent, and a stand-in for the executor beside it.
type machine struct {
	index      int
	node       string
	failsAll   atomic.Bool // fails all that it starts
	duplicates atomic.Bool // answers each call a second time, late

	mu           sync.Mutex
	incarnations int
	up           bool
}

func newSite(bin, dir string, seed uint64, checks *checker) (s *site, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	inner, err := standin.NewSite(bin, dir, coreCount, maxLostDisks)
	s = &site{Site: inner, dir: dir, seed: seed, checker: checks}
	inner.Wrap = func(i int, ln net.Listener) net.Listener { return duplicatingListener{ln, s.machines[i]} }
	return s, err
}

// duplicatingListener is that of a machine's executor, which answers twice at times.
type duplicatingListener struct {
	net.Listener
	m *machine
}

// Accept implements net.Listener.
func (l duplicatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return duplicatingConn{c, l.m}, err
}

// duplicatingConn writes what is written again, some time later.
type duplicatingConn struct {
	net.Conn
	m *machine
}

// Write implements net.Conn.
func (c duplicatingConn) Write(b []byte) (n int, err error) {
	if c.m.duplicates.Load() {
		duplicate := slices.Clone(b)
		time.AfterFunc(time.Duration(20+rand.IntN(1500))*time.Millisecond, func() { _, _ = c.Conn.Write(duplicate) }) // it may be closed
	}
	return c.Conn.Write(b)
}

// start starts the whole site.
func (s *site) start(machines int) error {
	for i := range coreCount {
		if err := s.StartCore(i, true); err != nil {
			return err
		}
	}
	for i := range entryCount {
		if err := s.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range machines {
		m := &machine{index: i, node: fmt.Sprintf("side-%d", i+1), up: true}
		s.machines = append(s.machines, m)
		if err := s.StartSide(executor.Config{
			Now: steady.Now, Capacity: rudderfork.Resources{CPUMilli: machineCPU, MemoryMB: 8000}, Sizes: payloadResources,
			Behave:   func(ref rudderfork.RunRef, payload string) string { return s.behave(m, ref, payload) },
			OnStart:  func(ref rudderfork.RunRef) { s.checker.runStarted(i, ref) },
			OnFinish: func(ref rudderfork.RunRef, how string) { s.checker.runEnded(i, ref, how) },
			Fate:     usualFate,
			Delay:    func(string) time.Duration { return time.Duration(2000+rand.IntN(10_000)) * time.Millisecond },
		}); err != nil {
			return err
		}
		s.Runners[i].HangFailedCalls()
		s.checker.setUp(i, true)
	}
	return nil
}

// usualFate is what becomes of executors' calls beside faults.
func usualFate(call string) executor.Fate {
	if call != "start" && call != "stop" || rand.IntN(100) >= *lossPercent {
		return executor.Answered
	}
	return []executor.Fate{executor.RequestLost, executor.ResponseLost, executor.Delayed}[rand.IntN(3)]
}

// payloadResources is what a payload says in its word cpu.
func payloadResources(payload string) rudderfork.Resources {
	_, after, _ := strings.Cut(payload, "cpu=")
	n, _ := strconv.ParseInt(after, 10, 64) // it is the last word, and the clients write numbers
	return rudderfork.Resources{CPUMilli: n}
}

// behave lets runs fail: all on a sick machine, else some, drawn from seed and run.
func (s *site) behave(m *machine, ref rudderfork.RunRef, payload string) string {
	if m.failsAll.Load() {
		return "work=100ms fail"
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", ref.Task, ref.Run)
	r := rand.New(rand.NewPCG(s.seed, h.Sum64()))
	switch {
	case strings.Contains(payload, "lasts") && r.IntN(10) < 6:
		return fmt.Sprintf("work=%dms fail", 200+r.IntN(30_000))
	case strings.Contains(payload, "work=") && r.IntN(50) == 0:
		return payload + " fail"
	}
	return payload
}

// killAndClose kills all, since a planned stop would take its time.
func (s *site) killAndClose() {
	_ = s.KillAll()
	s.Close()
}

// restart begins the executor's interface and its heartbeats.
func (s *site) restart(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		return
	}
	if err := s.StartExecutor(m.index); err != nil {
		s.checker.logf("  executor of %s: %v", m.node, err)
		return
	}
	m.up = true
	s.Runners[m.index].HangFailedCalls()
	s.checker.setUp(m.index, true)
}

// crash ends the executor's life; the next one has another id.
func (s *site) crash(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		m.up = false
		m.incarnations++
		s.checker.setUp(m.index, false)
		s.CrashExecutor(m.index, fmt.Sprintf("i-%d-%d", m.index+1, m.incarnations))
	}
}

// leader returns the core process that leads, or the first.
func (s *site) leader() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return max(0, s.Leader(ctx))
}

// process is one that a fault ends, and how it is started again.
type process struct {
	node  string
	start func() error
}

func (s *site) coreProcess(i int) process {
	return process{fmt.Sprintf("core-%d", i+1), func() error { return s.StartCore(i, false) }}
}

func (s *site) entryProcess(i int) process {
	return process{fmt.Sprintf("edge-%d", i+1), func() error { return s.StartEntry(i) }}
}

func (s *site) agentProcess(m *machine) process {
	return process{m.node, func() error { return s.StartAgent(m.index) }}
}

// kill ends programs at once, and returns what starts them again.
func (s *site) kill(ps []process) (restart func()) {
	var wg sync.WaitGroup
	for _, p := range ps {
		wg.Go(func() { _ = s.Kill(p.node) }) // one that has ended by itself shows it in its log
	}
	wg.Wait()
	return func() {
		for _, p := range ps {
			if err := p.start(); err != nil {
				s.checker.logf("  %s: %v", p.node, err)
			}
		}
	}
}
