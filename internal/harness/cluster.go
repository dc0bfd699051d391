package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/operator"
)

// Options are the sizes and settings of a cluster. Zero values mean defaults for tests.
type Options struct {
	Controls, Entries, Agents                 int
	Service                                   string
	Lease, HeartbeatInterval, ElectionTimeout time.Duration
	SnapshotEvery                             int                 // log entries between two snapshots of a control process
	WorkerFlags                               []string            // of all workers
	AgentWorkerFlags                          map[string][]string // by name of the agent, appended to WorkerFlags
	UpstreamFlags                             []string
	CPU, Memory                               int           // capacity of each VM's worker, in thousandths of a core and MB
	Reserved                                  int           // part of CPU that is reserved for the service
	Picker                                    string        // how entries choose an upstream; setting picker
	LeaveGrace                                time.Duration // of entries, from reporting not ready to closing the listener
	PlatformLag                               time.Duration // delay with which the platform lists a VM as leaving
}

func (o Options) withDefaults() Options {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setD := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	set(&o.Controls, 3)
	set(&o.Entries, 2)
	set(&o.Agents, 3)
	set(&o.CPU, 4000)
	set(&o.Memory, 8000)
	set(&o.SnapshotEvery, 2000)
	setD(&o.Lease, 2*time.Second)
	setD(&o.HeartbeatInterval, 250*time.Millisecond)
	setD(&o.ElectionTimeout, 300*time.Millisecond)
	setD(&o.LeaveGrace, 500*time.Millisecond)
	setD(&o.PlatformLag, time.Second)
	if o.Service == "" {
		o.Service = "tour-desk"
	}
	if o.Picker == "" {
		o.Picker = "probing"
	}
	return o
}

// Cluster is a set of all kinds of processes on the local host.
type Cluster struct {
	dir, bin string
	opt      Options
	procs    map[string]*Proc
	order    []string // keys of procs, in the order of their first start or format

	mu    sync.Mutex // guards links
	links map[string]*Link
}

// New returns a cluster with its files below dir and its programs in bin. It starts no
// process.
func New(dir, bin string, opt Options) *Cluster {
	return &Cluster{dir: dir, bin: bin, opt: opt.withDefaults(), procs: map[string]*Proc{}, links: map[string]*Link{}}
}

// Start founds the group of control processes and starts all processes, the platform
// and the controls first.
func (c *Cluster) Start() error {
	if err := c.StartProc("platform"); err != nil {
		return err
	}
	for i := range c.opt.Controls {
		if err := c.format(procName("c", i)); err != nil {
			return err
		}
	}
	for i := range c.opt.Controls {
		if err := c.StartProc(procName("c", i)); err != nil {
			return err
		}
	}
	for i := range c.opt.Agents {
		for _, kind := range []string{"u", "w", "a"} {
			if err := c.StartProc(procName(kind, i)); err != nil {
				return err
			}
		}
	}
	for i := range c.opt.Entries {
		if err := c.StartProc(procName("e", i)); err != nil {
			return err
		}
	}
	return nil
}

// procName returns the name of process i of a kind, counted from 0: c1 for the first control
// process.
func procName(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i+1) }

// Close kills all processes and closes all links.
func (c *Cluster) Close() {
	for _, n := range c.order {
		c.procs[n].Thaw()
		c.procs[n].signal(9)
	}
	for _, n := range c.order {
		c.procs[n].Wait()
	}
	for _, l := range c.links {
		l.Break()
	}
}

// Proc returns a process by name: c1, e1, a1, u1 (upstream), w1 (worker),
// platform.
func (c *Cluster) Proc(name string) *Proc { return c.procs[name] }

// Running returns the names of the running processes, in the order of their first start.
func (c *Cluster) Running() []string {
	var ns []string
	for _, n := range c.order {
		if c.procs[n].Running() {
			ns = append(ns, n)
		}
	}
	return ns
}

// Link returns the link from one process to another, which the first call creates.
func (c *Cluster) Link(from, to string) *Link {
	key := from + ">" + to
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[key]
	if l == nil {
		var err error
		if l, err = newLink(key); err != nil {
			panic(err) // the host has no free port
		}
		c.links[key] = l
		if p := c.procs[to]; p != nil && p.Listen() != "" {
			l.setTarget(p.Listen())
		}
	}
	return l
}

// Blackhole blackholes the open connections between processes of the given kinds, while
// new ones work. The kind is the name without its number, such as c, e, a or caller.
func (c *Cluster) Blackhole(kinds ...string) {
	isOfKind := func(name string) bool { return slices.Contains(kinds, strings.TrimRight(name, "0123456789")) }
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.links {
		if from, to, _ := strings.Cut(key, ">"); isOfKind(from) && isOfKind(to) {
			l.Blackhole()
		}
	}
}

// Isolate cuts every link of a process in both directions.
func (c *Cluster) Isolate(name string) { c.eachLinkOf(name, (*Link).Cut) }

// Rejoin heals every link of a process.
func (c *Cluster) Rejoin(name string) { c.eachLinkOf(name, (*Link).Heal) }

func (c *Cluster) eachLinkOf(name string, f func(*Link)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.links {
		from, to, _ := strings.Cut(key, ">")
		if from == name || to == name {
			f(l)
		}
	}
}

// Data returns the path of the data folder of a control process.
func (c *Cluster) Data(name string) string { return filepath.Join(c.dir, name, "data") }

// Audit returns the path of the audit file of an upstream or a worker.
func (c *Cluster) Audit(name string) string { return filepath.Join(c.dir, name+".audit") }

// ControlAddrs returns the addresses of the control processes for operators.
func (c *Cluster) ControlAddrs() []string { return c.addrs("op") }

func (c *Cluster) addrs(from string) []string {
	var as []string
	for i := range c.opt.Controls {
		as = append(as, c.Link(from, procName("c", i)).Addr())
	}
	return as
}

// Operator returns a client of the operators' API.
func (c *Cluster) Operator() *operator.Client { return operator.New(c.ControlAddrs()) }

// StartProc starts a process, or restarts one that has ended.
func (c *Cluster) StartProc(name string) error {
	p := c.procs[name]
	if p == nil {
		var err error
		if p, err = c.newProc(name); err != nil {
			return err
		}
		c.procs[name] = p
		c.order = append(c.order, name)
	}
	if err := p.start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.links {
		if strings.HasSuffix(key, ">"+name) {
			l.setTarget(p.Listen())
		}
	}
	return nil
}

func (c *Cluster) newProc(name string) (*Proc, error) {
	if err := os.MkdirAll(filepath.Join(c.dir, name), 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Proc{Name: name, log: log}
	num := name[1:]
	vm := "vm" + num
	switch name[0] {
	case 'p':
		p.bin, p.args = "standin", []string{"platform", "-lag", c.opt.PlatformLag.String()}
	case 'u':
		p.bin, p.args = "standin", append([]string{"upstream", "-vm", vm, "-audit", c.Audit(name), "-worker", c.Link(name, "w"+num).Addr()}, c.opt.UpstreamFlags...)
	case 'w':
		p.bin, p.args = "standin", append([]string{"worker", "-vm", vm, "-audit", c.Audit(name)}, c.opt.WorkerFlags...)
		p.args = append(p.args, c.opt.AgentWorkerFlags["a"+num]...)
	default:
		path := filepath.Join(c.dir, name, "settings.ini")
		if err := os.WriteFile(path, []byte(c.settings(name)), 0o644); err != nil {
			return nil, err
		}
		p.bin = map[byte]string{'c': "rudder-control", 'a': "rudder-agent", 'e': "rudder-entry"}[name[0]]
		p.args = []string{"run", "-settings", path}
	}
	p.bin = filepath.Join(c.bin, p.bin)
	return p, nil
}

// StartWithCrash restarts a process so that it crashes at the given crash point.
func (c *Cluster) StartWithCrash(name, point string) error {
	c.procs[name].env = []string{crash.Env + "=" + point}
	return c.StartProc(name)
}

// format prepares the data folder of a control process with the subcommand "format".
func (c *Cluster) format(name string) error {
	p, err := c.newProc(name)
	if err != nil {
		return err
	}
	c.procs[name] = p
	c.order = append(c.order, name)
	out, err := exec.Command(p.bin, "format", "-settings", p.args[2]).CombinedOutput()
	if err != nil {
		return fmt.Errorf("format %s: %w: %s", name, err, out)
	}
	return nil
}
