//go:build proof

package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
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
	coreCount    = 5    // core machines, each with a control process
	entryCount   = 2    // edge machines, each with an entry
	maxLostDisks = 2    // disks of core machines that may be lost at once
	machineCPU   = 4000 // CPU capacity of a side machine, in thousandths of a core

	// allPolicies are the settings of the control processes of even seeds. The rules hold with and
	// without the policies.
	allPolicies = "[admission]\nrefuse=on\n[fairness]\nshare=on\n[speeds]\nlearn=on\n[handover]\nkeep=on\n"
)

// site is a deployment of real processes on loopback addresses. The machines core-N run
// control processes (core processes here), edge-N entries, and side-N agents.
type site struct {
	*standin.Site
	dir      string
	seed     uint64
	checker  *checker
	machines []*machine
	disksMu  sync.Mutex // held while a fault removes the data of core processes
}

// machine is a side machine: an agent, and a stand-in for the executor beside it.
type machine struct {
	index      int
	node       string
	failsAll   atomic.Bool // all runs on the machine fail
	duplicates atomic.Bool // the executor sends each answer a second time, after a delay

	mu           sync.Mutex
	incarnations int  // incarnations of the executor before the current one
	up           bool // the executor is running
}

func newSite(bin, dir string, seed uint64, checks *checker) (s *site, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	inner, err := standin.NewSite(bin, dir, coreCount, maxLostDisks)
	if err != nil {
		return nil, err
	}
	if seed%2 == 0 {
		inner.Scheduling = filepath.Join(dir, "scheduling.ini")
		if err := os.WriteFile(inner.Scheduling, []byte(allPolicies), 0o600); err != nil {
			return nil, err
		}
	}
	s = &site{Site: inner, dir: dir, seed: seed, checker: checks}
	inner.WrapListener = func(i int, ln net.Listener) net.Listener { return duplicatingListener{ln, s.machines[i]} }
	return s, nil
}

// duplicatingListener is the listener of an executor that may send its answers twice.
type duplicatingListener struct {
	net.Listener
	m *machine
}

// Accept implements net.Listener.
func (l duplicatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return duplicatingConn{c, l.m}, err
}

// duplicatingConn repeats each write after a random delay while the machine has duplicates
// set.
type duplicatingConn struct {
	net.Conn
	m *machine
}

// Write implements net.Conn.
func (c duplicatingConn) Write(b []byte) (n int, err error) {
	if c.m.duplicates.Load() {
		duplicate := slices.Clone(b)
		time.AfterFunc(time.Duration(20+rand.IntN(1500))*time.Millisecond, func() { _, _ = c.Conn.Write(duplicate) }) // the connection may be closed by then
	}
	return c.Conn.Write(b)
}

// start starts all processes of the site.
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
			Delivery: usualDelivery,
			Delay:    func(string) time.Duration { return time.Duration(2000+rand.IntN(10_000)) * time.Millisecond },
		}); err != nil {
			return err
		}
		s.Servers[i].HangFailedCalls()
		s.checker.setExecutorUp(i, true)
	}
	return nil
}

// usualDelivery returns how a call is delivered while no fault changes it: it is answered, but
// a share of lossPercent of the start and stop calls is lost or delayed.
func usualDelivery(call string) executor.Delivery {
	if call != "start" && call != "stop" || rand.IntN(100) >= *lossPercent {
		return executor.Answered
	}
	return []executor.Delivery{executor.RequestLost, executor.ResponseLost, executor.Delayed}[rand.IntN(3)]
}

// payloadResources returns the resources that a payload requests with cpu=N.
func payloadResources(payload string) rudderfork.Resources {
	_, after, _ := strings.Cut(payload, "cpu=")
	n, _ := strconv.ParseInt(after, 10, 64) // cpu=N is the last word, and N is always a number
	return rudderfork.Resources{CPUMilli: n}
}

// behave returns the payload with which a run is carried out. It makes all runs fail on a
// machine with failsAll set, else a share of the runs that depends on the seed and the
// run.
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

// killAndClose kills all processes, since a graceful shutdown takes longer, and closes the
// site.
func (s *site) killAndClose() {
	_ = s.KillAll()
	s.Close()
}

// restart starts the executor of a machine again, with its heartbeats.
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
	s.Servers[m.index].HangFailedCalls()
	s.checker.setExecutorUp(m.index, true)
}

// crash ends the incarnation of a machine's executor; the next one has another ID.
func (s *site) crash(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		m.up = false
		m.incarnations++
		s.checker.setExecutorUp(m.index, false)
		s.CrashExecutor(m.index, fmt.Sprintf("i-%d-%d", m.index+1, m.incarnations))
	}
}

// leader returns the index of the leading core process, or 0 if none is known.
func (s *site) leader() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return max(0, s.Leader(ctx))
}

// process is a process that a fault kills.
type process struct {
	node  string       // name of its node
	start func() error // starts it again
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

// kill kills processes with SIGKILL, and returns a function that starts them again.
func (s *site) kill(ps []process) (restart func()) {
	var wg sync.WaitGroup
	for _, p := range ps {
		wg.Go(func() { _ = s.Kill(p.node) }) // a process that has already ended shows the cause in its log
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
