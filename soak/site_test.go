//go:build proof

package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/platform/standin"
	"rudderfork.example/rudderfork/standin/executor"
)

const (
	cores    = 5
	entries  = 2
	zones    = 4
	maxLost  = 2    // core disks that may be lost at once
	cpuRoom  = 4000 // of a machine
	service  = "desk"
	mostSeed = 3 // core machines that a settings file names
)

// The ports of the machines, the same on each of their addresses.
const (
	portFront = iota
	portReady
	portControl
	portInternal
	portApp
	portCount
)

// process is one of the product's programs.
type process struct {
	node, role, settings string
	data                 string // folder of a core process

	mu  sync.Mutex
	cmd *exec.Cmd
}

// machine is a side machine: an agent, and a stand-in for the executor beside it.
type machine struct {
	index int
	agent *process
	exec  *executor.Executor
	sick  atomic.Bool // fails all that it starts

	mu     sync.Mutex
	runner *standin.Runner    // nil while it is down
	cancel context.CancelFunc // ends the heartbeats
	lives  int
}

// site is one deployment of real processes on loopback.
type site struct {
	bin, dir string
	seed     uint64
	ports    [portCount]string
	watch    *watch

	cores, entries []*process
	machines       []*machine
}

func newSite(bin, dir string, seed uint64, machines int, w *watch) (s *site, err error) {
	s = &site{bin: bin, dir: dir, seed: seed, watch: w}
	for i := range s.ports {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		_, s.ports[i], _ = net.SplitHostPort(ln.Addr().String())
	}
	for i := range cores {
		node := fmt.Sprintf("core-%d", i+1)
		data := filepath.Join(dir, node)
		s.cores = append(s.cores, &process{node: node, role: "control", data: data, settings: s.settings(node, coreIP(i), i,
			"listen.control="+s.addr(coreIP(i), portControl), "data_dir="+data)})
	}
	for i := range entries {
		node, ip := fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.95.%d", i+1)
		s.entries = append(s.entries, &process{node: node, role: "entry", settings: s.settings(node, ip, i,
			"listen.front="+s.addr(ip, portFront), "listen.ready="+s.addr(ip, portReady))})
	}
	for i := range machines {
		s.machines = append(s.machines, s.newMachine(i))
	}
	return s, nil
}

func coreIP(i int) string { return fmt.Sprintf("127.0.93.%d", i+1) }

func sideIP(i int) string { return fmt.Sprintf("127.0.94.%d", i+1) }

func (s *site) addr(ip string, port int) string { return net.JoinHostPort(ip, s.ports[port]) }

func (s *site) front(i int) string { return s.addr(fmt.Sprintf("127.0.95.%d", i+1), portFront) }

func (s *site) settings(node, ip string, i int, more ...string) string {
	var seeds []string
	for i := range mostSeed {
		seeds = append(seeds, s.addr(coreIP(i), portControl))
	}
	lines := append([]string{
		"node_name=" + node, "ip=" + ip, fmt.Sprintf("zone=hall-%d", i%zones+1), "region=parish",
		"internal_ports=" + s.ports[portInternal] + "," + s.ports[portInternal], "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("fault_tolerance.machines=%d", maxLost), "bounds.max_hold_ms=6000", "bounds.grace_s=6", "bounds.status_s=900",
	}, more...)
	for i := range zones {
		lines = append(lines, fmt.Sprintf("zones.hall-%d=parish", i+1))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (s *site) newMachine(i int) *machine {
	node, ip := fmt.Sprintf("side-%d", i+1), sideIP(i)
	m := &machine{index: i, agent: &process{node: node, role: "agent", settings: s.settings(node, ip, i,
		"listen.control="+s.addr(ip, portControl), "app="+s.addr(ip, portApp), "service="+service)}}
	m.exec = executor.New(m.life(), executor.Config{
		Now: time.Now, Room: rudderfork.Resources{CPUMilli: cpuRoom, MemoryMB: 8000}, Sizes: size, Delay: lateness,
		Behave:   func(ref rudderfork.RunRef, payload string) string { return s.behave(m, ref, payload) },
		OnStart:  func(ref rudderfork.RunRef) { s.watch.started(i, ref) },
		OnFinish: func(ref rudderfork.RunRef, how string) { s.watch.finished(i, ref, how) },
	})
	return m
}

func (m *machine) life() string { return fmt.Sprintf("i-%d-%d", m.index+1, m.lives+1) }

// word returns a number in a payload.
func word(payload, key string) int64 {
	for f := range strings.FieldsSeq(payload) {
		if v, found := strings.CutPrefix(f, key+"="); found {
			n, _ := strconv.ParseInt(v, 10, 64) // the clients write numbers
			return n
		}
	}
	return 0
}

func size(payload string) rudderfork.Resources {
	return rudderfork.Resources{CPUMilli: word(payload, "cpu")}
}

// behave lets runs fail: all on a sick machine, else some, drawn from seed and run.
func (s *site) behave(m *machine, ref rudderfork.RunRef, payload string) string {
	if m.sick.Load() {
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

// start runs a process; founding is for the first start of the whole site.
func (s *site) start(p *process, founding bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	path := filepath.Join(s.dir, p.node+".conf")
	if err := os.WriteFile(path, fmt.Appendf(nil, "%sbootstrap=%v\n", p.settings, founding), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(s.bin, "rudder-platform"), p.role)
	cmd.Env = append(os.Environ(), "RUDDERFORK_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd = cmd
	return cmd.Start()
}

// kill ends a process at once.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have ended by itself, which its log shows
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// signal sends a signal to a process that runs.
func (p *process) signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // as kill
	}
}

// up begins the executor's interface and its heartbeats.
func (s *site) up(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr(sideIP(m.index), portApp))
	if err != nil {
		return err
	}
	m.runner = standin.NewRunner(ln, m.exec, service, rudderfork.Resources{CPUMilli: cpuRoom, MemoryMB: 8000}, "a", "rack-1")
	m.runner.Mute()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.runner.Report(ctx, s.addr(sideIP(m.index), portControl))
	s.watch.up(m.index, true)
	return nil
}

// crash ends the executor's life; the next one has another id.
func (s *site) crash(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner == nil {
		return
	}
	m.cancel()
	m.runner.Close()
	m.runner = nil
	m.lives++
	m.exec.Restart(m.life())
	s.watch.up(m.index, false)
}

// leader returns the core process that answers as the leader, or -1.
func (s *site) leader() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for i := range s.cores {
		status, _, err := standin.Call(ctx, http.MethodGet, "http://"+s.addr(coreIP(i), portInternal)+"/v1/queues", "", nil)
		if err == nil && status == http.StatusOK {
			return i
		}
	}
	return -1
}

// whole reports whether each core process's disk names the same five voters.
func (s *site) whole() bool {
	first := ""
	for i, p := range s.cores {
		ms, err := standin.Members(filepath.Join(p.data, "replica"), filepath.Join(s.dir, fmt.Sprintf("copy-%d", i)))
		voters := 0
		for _, m := range ms {
			if m.Voter {
				voters++
			}
		}
		text := fmt.Sprint(ms)
		if err != nil || voters != cores || len(ms) != cores || first != "" && text != first {
			return false
		}
		first = text
	}
	return true
}

func (s *site) close() {
	for _, m := range s.machines {
		m.agent.kill()
		s.crash(m)
	}
	for _, p := range append(s.entries, s.cores...) {
		p.kill()
	}
}

// usual is what becomes of executors' calls beside faults.
func (s *site) usual() func(call string) executor.Fate {
	return func(call string) executor.Fate {
		if call != "start" && call != "stop" || rand.IntN(100) >= *stutter {
			return executor.Answered
		}
		return executor.Fate(1 + rand.IntN(3))
	}
}

// lateness is how long orders are held back.
func lateness(string) time.Duration { return time.Duration(2000+rand.IntN(10_000)) * time.Millisecond }
