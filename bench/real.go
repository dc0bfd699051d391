package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/operator"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// clusterTimeout bounds one section that runs real processes.
const clusterTimeout = 2 * time.Minute

// startCluster starts a cluster for one section and waits until it is ready. ctx ends
// after clusterTimeout.
func startCluster(bin string, opt harness.Options) (ctx context.Context, c *harness.Cluster, stop func(), err error) {
	bin, err = filepath.Abs(bin)
	if err != nil {
		return nil, nil, nil, err
	}
	dir, err := os.MkdirTemp("", "rudderfork-bench-")
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	c = harness.New(dir, bin, opt)
	stop = func() {
		c.Close()
		cancel()
		_ = os.RemoveAll(dir)
	}
	if err := c.Start(); err != nil {
		stop()
		return nil, nil, nil, err
	}
	if err := c.WaitReady(ctx); err != nil {
		stop()
		return nil, nil, nil, err
	}
	return ctx, c, stop, nil
}

// Commits prints the latency and throughput of commits, and as a lower bound the time of one
// fdatasync and of one TCP round trip.
func Commits(w io.Writer, bin string) error {
	ctx, c, stop, err := startCluster(bin, harness.Options{Agents: 1, Entries: 1})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "commits by operators through HTTP, 3 control processes, against one sync plus one round trip")
	fdatasync, rtt, err := measureFloor(filepath.Dir(c.Data("c1")))
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "floor: one fdatasync of 200 bytes %.2f ms, one TCP round trip %.2f ms (medians of 200)\n", ms(fdatasync), ms(rtt))
	for _, n := range []int{1, 4, 16, 64} {
		const run = 2 * time.Second
		lead, err := waitForLeader(ctx, c)
		if err != nil {
			return err
		}
		follower := "c1"
		if lead == follower {
			follower = "c2"
		}
		leaderPID, followerPID := c.Proc(lead).Pid(), c.Proc(follower).Pid()
		leaderCPU, followerCPU, followerIO := cpuTime(leaderPID), cpuTime(followerPID), ioBytes(followerPID)
		took := editConcurrently(ctx, c, n, run)
		perCommit := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(1, len(took))) }
		fmt.Fprintf(w, "%3d operators: %6.0f commits/s, median %.2f ms, p99 %.2f ms; a commit costs the leader %.0f µs, a follower %.0f µs and %.0f bytes read and written\n",
			n, float64(len(took))/run.Seconds(), ms(quantile(took, 0.5)), ms(quantile(took, 0.99)),
			perCommit(cpuTime(leaderPID)-leaderCPU), perCommit(cpuTime(followerPID)-followerCPU), float64(ioBytes(followerPID)-followerIO)/float64(max(1, len(took))))
	}
	return nil
}

// editConcurrently lets n operators each edit a cell of their own for the given time. It
// returns the latencies of all edits.
func editConcurrently(ctx context.Context, c *harness.Cluster, n int, run time.Duration) []time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	end := time.Now().Add(run)
	for i := range n {
		wg.Go(func() {
			op := c.Operator()
			k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: fmt.Sprint("t", i), Column: rudderfork.ColWeight}
			cell, err := op.Cell(ctx, k)
			rev := cell.Revision
			for err == nil && time.Now().Before(end) {
				at := time.Now()
				var res state.Result
				res, err = op.Set(ctx, k, 1+int64(rev)%1000, rev, operator.NewID())
				rev = res.Revision
				mu.Lock()
				all = append(all, time.Since(at))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all
}

// measureFloor returns the median times of an fdatasync in dir and of a TCP round trip on
// loopback, both of 200 bytes.
func measureFloor(dir string) (fdatasync, rtt time.Duration, err error) {
	f, err := os.CreateTemp(dir, "floor")
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	var syncs, trips []time.Duration
	for range 200 {
		at := time.Now()
		if _, err := f.Write(make([]byte, 200)); err != nil {
			return 0, 0, err
		}
		if err := syscall.Fdatasync(int(f.Fd())); err != nil {
			return 0, 0, err
		}
		syncs = append(syncs, time.Since(at))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer ln.Close()
	go func() {
		if conn, err := ln.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	buf := make([]byte, 200)
	for range 200 {
		at := time.Now()
		if _, err := conn.Write(buf); err != nil {
			return 0, 0, err
		}
		if _, err := io.ReadFull(conn, buf); err != nil {
			return 0, 0, err
		}
		trips = append(trips, time.Since(at))
	}
	return quantile(syncs, 0.5), quantile(trips, 0.5), nil
}

// fakeNode is an agent without a VM, so that one process can hold hundreds of sessions.
type fakeNode struct {
	i     int // number of the node
	tasks int // tasks in each heartbeat; 7 is about targetTasks/targetVMs
	table *node.Table
	epoch atomic.Uint64
}

// Hello implements node.Handler.
func (f *fakeNode) Hello() wire.Hello {
	name := fmt.Sprint("fake", f.i)
	p := rudderfork.Place{VM: rudderfork.VMID(name), Domain: rudderfork.Domain(fmt.Sprint("d", f.i%16)), Region: rudderfork.Region(fmt.Sprint("r", f.i%6))}
	return wire.Hello{Kind: wire.KindAgent, Process: name, Place: p, Boot: "b", Register: &state.Register{
		Place: p, Addr: "127.0.0.1:1", Boot: "b", Capacity: rudderfork.Resources{CPUMilli: 32_000, MemoryMB: 125_000},
	}}
}

// Heartbeat implements node.Handler. It reports the usage of f.tasks tasks.
func (f *fakeNode) Heartbeat() wire.Heartbeat {
	b := wire.Heartbeat{Epoch: rudderfork.Token(f.epoch.Load()), Services: []wire.ServiceUsage{{Service: "tour-desk", Requests: 50, MeanUS: 5000, TailUS: 9000, Busy: 0.3}}}
	for i := range f.tasks {
		b.Tasks = append(b.Tasks, wire.TaskUsage{Task: rudderfork.TaskID(fmt.Sprintf("job%d/%d", f.i, i)), Token: 1, Used: rudderfork.Resources{CPUMilli: 1000, MemoryMB: 2000}, Checkpoint: 100, Progress: 120, At: 1_796_000_000_000})
	}
	return b
}

// Handle implements node.Handler.
func (f *fakeNode) Handle(m wire.ToNode) {
	if m.Welcome != nil {
		f.epoch.Store(uint64(m.Welcome.Epoch))
	}
}

// Sessions prints what the sessions of agents cost the leader, and the time from an
// accepted edit until every agent has it, by the number of agents.
func Sessions(w io.Writer, bin string) error {
	printHeading(w, "sessions of agents with the leader: beats of 7 tasks each 2 s; edits in force everywhere")
	fmt.Fprintf(w, "%7s %14s %16s %13s %17s %17s\n", "agents", "leader CPU %", "leader RSS MB", "idle CPU %", "in force ms", "slowest of 10 ms")
	for _, n := range []int{100, 200, 400, 800} {
		if err := measureSessions(w, bin, n); err != nil {
			return err
		}
	}
	return nil
}

// measureSessions prints the figures for n agents.
func measureSessions(w io.Writer, bin string, n int) error {
	ctx, c, stop, err := startCluster(bin, harness.Options{Agents: 1, Entries: 1, Lease: 10 * time.Second, SnapshotEvery: 100_000})
	if err != nil {
		return err
	}
	defer stop()
	lead, err := waitForLeader(ctx, c)
	if err != nil {
		return err
	}
	idle := measureCPUShare(c.Proc(lead).Pid(), 2*time.Second)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes := make([]*fakeNode, n)
	for i := range nodes {
		f := &fakeNode{i: i, tasks: 7, table: node.NewTable()}
		nodes[i] = f
		cl := node.NewClient([]string{c.Proc(lead).Listen()}, 2*time.Second, f.table, f, zerolog.Nop())
		go func() { _ = cl.Serve(ctx) }()
	}
	err = harness.Until(ctx, "all sessions", func() error {
		for _, f := range nodes {
			if !f.table.Known() {
				return fmt.Errorf("node %d has no table", f.i)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Second) // until the registrations have been handled
	busy := measureCPUShare(c.Proc(lead).Pid(), 6*time.Second)
	times, err := timeEdits(ctx, c, nodes)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%7d %14.2f %16.1f %13.2f %17.1f %17.1f\n", n, 100*busy, rss(c.Proc(lead).Pid()), 100*idle, ms(quantile(times, 0.5)), ms(quantile(times, 1)))
	return nil
}

// timeEdits makes ten edits and returns for each the time until all nodes have it.
func timeEdits(ctx context.Context, c *harness.Cluster, nodes []*fakeNode) (times []time.Duration, err error) {
	op := c.Operator()
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "timed", Column: rudderfork.ColWeight}
	rev := rudderfork.Revision(0)
	for i := range 10 {
		res, err := op.Set(ctx, k, int64(i+1), rev, operator.NewID())
		if err != nil {
			return nil, err
		}
		at := time.Now()
		rev = res.Revision
		for _, f := range nodes {
			for f.table.Revision() < rev {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				time.Sleep(200 * time.Microsecond)
			}
		}
		times = append(times, time.Since(at))
	}
	return times, nil
}

// waitForLeader waits until a control process leads and returns its name.
func waitForLeader(ctx context.Context, c *harness.Cluster) (name string, err error) {
	err = harness.Until(ctx, "a leader", func() error {
		for _, n := range []string{"c1", "c2", "c3"} {
			if st, err := c.Operator().Status(ctx, c.Proc(n).Listen()); err == nil && st.Ready {
				name = n
				return nil
			}
		}
		return fmt.Errorf("no control process leads")
	})
	return name, err
}

// measureCPUShare returns the share of one core that a process uses during the next d.
func measureCPUShare(pid int, d time.Duration) float64 {
	before := cpuTime(pid)
	time.Sleep(d)
	return (cpuTime(pid) - before).Seconds() / d.Seconds()
}

// cpuTime returns the CPU time that a process has used, with a resolution of 10 ms.
func cpuTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	sys, _ := strconv.Atoi(f[12])
	return time.Duration(user+sys) * 10 * time.Millisecond
}

// ioBytes returns the bytes that a process has read and written, from and to files and
// sockets, without TCP and IP headers.
func ioBytes(pid int) (n int64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if name, val, _ := strings.Cut(line, ": "); name == "rchar" || name == "wchar" {
			v, _ := strconv.ParseInt(val, 10, 64)
			n += v
		}
	}
	return n
}

// rss returns the resident memory of a process, in MB.
func rss(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// Idle prints the CPU, memory and I/O of each kind of process without load.
func Idle(w io.Writer, bin string) error {
	_, c, stop, err := startCluster(bin, harness.Options{Agents: 3, Entries: 2, HeartbeatInterval: time.Second, Lease: 5 * time.Second, ElectionTimeout: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "idle cost of a process: beat 1 s, heartbeat 100 ms, over 10 s")
	time.Sleep(2 * time.Second)
	names := []string{"c1", "c2", "c3", "e1", "a1"}
	before := map[string]time.Duration{}
	bytes := map[string]int64{}
	for _, n := range names {
		before[n], bytes[n] = cpuTime(c.Proc(n).Pid()), ioBytes(c.Proc(n).Pid())
	}
	const d = 10 * time.Second
	time.Sleep(d)
	for _, n := range names {
		pid := c.Proc(n).Pid()
		fmt.Fprintf(w, "%-3s CPU %.2f%% of a core, RSS %.1f MB, %.2f KB/s read and written\n", n,
			100*(cpuTime(pid)-before[n]).Seconds()/d.Seconds(), rss(pid), float64(ioBytes(pid)-bytes[n])/1000/d.Seconds())
	}
	return nil
}

// Path prints the latency of a direct call to an upstream, of one through entry and agent,
// and of one with a claim.
func Path(w io.Writer, bin string) error {
	ctx, c, stop, err := startCluster(bin, harness.Options{Agents: 3, Entries: 1, UpstreamFlags: []string{"-work", "0s"}})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "path of one request, one caller, upstream work 0 ms, 2000 requests each; every hop through the fault proxy but the first")
	direct := c.Direct("u1")
	entry := c.DirectEntry("e1")
	for _, v := range []struct {
		name string
		cl   *harness.Caller
		key  bool
	}{{"upstream directly", direct, false}, {"entry, agent, upstream", entry, false}, {"the same with a claim", entry, true}} {
		var took []time.Duration
		for i := range 2000 {
			key := ""
			if v.key {
				key = fmt.Sprint("bench-", i)
			}
			at := time.Now()
			if a := v.cl.HoldOnce(ctx, fmt.Sprint("s", i), key, "x"); a.Err != nil || a.Status != 200 {
				return fmt.Errorf("%s: %d %w", v.name, a.Status, a.Err)
			}
			took = append(took, time.Since(at))
		}
		fmt.Fprintf(w, "%-24s median %.2f ms, p99 %.2f ms\n", v.name, ms(quantile(took, 0.5)), ms(quantile(took, 0.99)))
	}
	return nil
}

// Urgent prints how long an urgent task waits from its submission to its start at a
// worker while batch work uses the whole capacity.
func Urgent(w io.Writer, bin string) error {
	ctx, c, stop, err := startCluster(bin, harness.Options{Agents: 4, Entries: 1, CPU: 4000, WorkerFlags: []string{"-checkpoint", "20", "-use-cpu", "1739", "-use-memory", "222"}})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "urgent work on 4 VMs that are full of batch work: from submission to start, 10 times")
	op := c.Operator()
	cells := func(priority int64) map[string]int64 {
		return map[string]int64{rudderfork.ColCPU: 2000, rudderfork.ColPriority: priority}
	}
	batch := rudderfork.JobSpec{ID: "batch", Team: "t", Kind: "k", Tasks: 40, Units: 100_000, Cells: cells(1)}
	if _, err := op.Submit(ctx, batch); err != nil {
		return err
	}
	err = harness.Until(ctx, "the VMs to be full", func() error {
		j, err := op.Job(ctx, batch.ID)
		if err == nil && j.Running < 8 {
			err = fmt.Errorf("%d tasks are running", j.Running)
		}
		return err
	})
	if err != nil {
		return err
	}
	var took []time.Duration
	for i := range 10 {
		id := rudderfork.JobID(fmt.Sprint("urgent", i))
		at := time.Now()
		if _, err := op.Submit(ctx, rudderfork.JobSpec{ID: id, Team: "t", Kind: "u", Tasks: 1, Units: 20, Cells: cells(9)}); err != nil {
			return err
		}
		started, err := waitForStart(ctx, c, string(id)+"/0")
		if err != nil {
			return err
		}
		took = append(took, started.Sub(at))
		if err := c.WaitJob(ctx, id); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "median %.0f ms, slowest %.0f ms\n", ms(quantile(took, 0.5)), ms(quantile(took, 1)))
	return nil
}

// waitForStart waits until a task has started for the first time and returns when that was.
func waitForStart(ctx context.Context, c *harness.Cluster, task string) (at time.Time, err error) {
	err = harness.Until(ctx, task+" to start", func() error {
		us, err := c.TaskRecords()
		if err != nil {
			return err
		}
		for _, u := range us {
			if u.Task == task && u.Event == "start" {
				at = time.UnixMicro(u.From)
				return nil
			}
		}
		return fmt.Errorf("no start recorded")
	})
	return at, err
}
