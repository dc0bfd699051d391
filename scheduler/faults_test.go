package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/front"
	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	faultVMs        = 4
	faultTasks      = 6   // tasks of the lasting job
	maxFaultCrashes = 1   // executor crashes in a schedule; with more, jobs fail because of them
	faultEvents     = 80  // events of a schedule with an even seed; twice as many with an odd one
	executorStartMS = 500 // start time in the name of the first incarnation of an executor id, Unix ms
	// maxPlatformLease is the longest lease that the users' platform grants.
	maxPlatformLease = 5 * time.Second
)

var (
	faultSeeds            = flag.Uint64("calm.seeds", 4, "schedules of TestRunsNeverStartedAfterFaults")
	faultFirstSeed        = flag.Uint64("calm.first", 0, "first seed of TestRunsNeverStartedAfterFaults")
	faultWrongIncarnation = flag.Bool("calm.misled", false, "have executors answer a poll as another incarnation once")
)

// faultCluster is a cluster with random faults, all of which end.
type faultCluster struct {
	*testCluster
	rng          *rand.Rand // draws the schedule
	store        *gatedStore
	faultsActive atomic.Bool
	vmList       []*faultVM
	crashes      int           // crash events so far
	outageFactor int           // mean time for which commits are blocked, in units of about 0.7 s
	gate         chan struct{} // closed to unblock commits; nil while they are not blocked
}

// vmCPUMilli is the capacity of each VM while no fault reduces it, in thousandths of a core.
const vmCPUMilli = 4000

var faultDocument = &queue.Document{
	Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
	Pools: []queue.Pool{{Service: "desk"}},
}

func newFaultCluster(t *testing.T, seed uint64) *faultCluster {
	c := &faultCluster{rng: rand.New(rand.NewPCG(seed, 5)), store: &gatedStore{}, outageFactor: 1}
	if seed%3 == 0 {
		c.outageFactor = 5
	}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { c.store.Store = s; return c.store }, selfMember)
	c.testCluster = &testCluster{t: t, ctx: t.Context()}
	c.sched = New(Settings{Lease: maxPlatformLease, StartWindow: 2 * time.Second, StatusRetention: time.Minute}, rep, nil, zerolog.Nop(), noPeers{})
	c.addr = serveSessions(t, c.sched)
	c.front = front.New("front", c.seeds, zerolog.Nop())
	c.serve(rep, c.sched, c.front)
	for i := range faultVMs {
		c.addFaultVM(fmt.Sprintf("vm%d", i+1), seed)
	}
	c.waitUntil("the document is accepted", func() bool {
		code := c.send(wire.QueueRequest{Put: faultDocument}).Code
		return code == queue.OK || code == queue.Stale // an earlier attempt may have been carried out
	})
	size := rudderfork.Resources{CPUMilli: 500}
	c.submit("feed", "", queue.Step{Count: faultTasks, Size: size, Lasting: true})
	c.submit("broken", "work=300ms fail", queue.Step{Count: 2, Size: size, Lasting: true})
	return c
}

func (c *faultCluster) addFaultVM(name string, seed uint64) {
	link, err := faultlink.New(c.addr)
	assert.NilError(c.t, err)
	v := &faultVM{cluster: c, name: name, link: link, rng: rand.New(rand.NewPCG(seed, uint64(len(c.vmList))))}
	v.cpuMilli.Store(vmCPUMilli)
	v.exec = executor.New(v.nextIncarnation(), executor.Config{
		Now: steady.Now, Capacity: rudderfork.Resources{CPUMilli: vmCPUMilli, MemoryMB: 1000}, ClockRate: 0.99, StopTime: 100 * time.Millisecond,
		Delivery: v.drawDelivery, Delay: func(string) time.Duration { return v.randomDuration(3 * time.Second) },
	})
	c.vmList = append(c.vmList, v)
	v.startAgent()
	c.t.Cleanup(func() { v.stop(); link.Close() })
	go v.describeExecutor()
}

// injectFault injects one random fault, or none.
func (c *faultCluster) injectFault() {
	v := c.vmList[c.rng.IntN(len(c.vmList))]
	switch c.rng.IntN(28) {
	case 0, 1:
		v.startAgent()
	case 2, 3:
		v.link.SetTarget(c.addr) // closes open connections
	case 4:
		v.link.Blackhole(faultlink.ToTarget)
	case 5:
		v.link.Blackhole(faultlink.ToDialer)
	case 6:
		v.link.Blackhole(faultlink.ToTarget, faultlink.ToDialer)
	case 7:
		v.exec.Flush()
	case 8, 9:
		v.cpuMilli.Store(int64(c.rng.IntN(5)) * vmCPUMilli / 4)
	case 10:
		if c.gate == nil {
			gate := make(chan struct{})
			c.gate = gate
			c.store.gate.Store(&gate)
		}
	case 11, 12:
		if c.rng.IntN(c.outageFactor) == 0 {
			c.releaseCommits()
		}
	case 13:
		c.sched.endTerm() // the next round starts a term, as a new leader does
	case 14:
		c.crashExecutor(v)
	case 15, 16:
		if *faultWrongIncarnation {
			v.mu.Lock()
			v.wrongAnswers = 1
			v.mu.Unlock()
		}
	}
}

// releaseCommits unblocks commits.
func (c *faultCluster) releaseCommits() {
	if c.gate != nil {
		c.store.gate.Store(nil)
		close(c.gate)
		c.gate = nil
	}
}

// crashExecutor restarts an executor in a new incarnation, under the same id or another.
func (c *faultCluster) crashExecutor(v *faultVM) {
	if c.crashes++; c.crashes > maxFaultCrashes {
		return
	}
	if c.rng.IntN(2) == 0 {
		v.exec.RestartSameID()
		return
	}
	v.exec.Restart(v.nextIncarnation())
}

// endFaults ends all faults.
func (c *faultCluster) endFaults() {
	c.faultsActive.Store(false)
	c.releaseCommits()
	for _, v := range c.vmList {
		v.cpuMilli.Store(vmCPUMilli)
		v.exec.Flush()
	}
}

// stalledTask describes a task of the lasting job that has no run, or whose active run its executor
// does not run. It returns "" if there is none.
func (c *faultCluster) stalledTask() (what string) {
	working := map[rudderfork.RunRef]string{}
	for _, v := range c.vmList {
		for _, ref := range v.exec.Running() {
			working[ref] = v.name
		}
	}
	c.sched.rep.View(func(st *state.State) {
		j := st.Queues().Job("feed")
		if j.Status != queue.Running {
			return // the job has failed, or has not started
		}
		for i := range faultTasks {
			k := queue.TaskKey{Job: "feed", Index: i}
			list := j.Task(k).Runs
			if len(list) == 0 {
				what = fmt.Sprintf("%v has no run: %+v", k, *j.Task(k))
			}
			for _, r := range list {
				if on := working[k.Ref(r.Number)]; on != string(r.VM) {
					what = fmt.Sprintf("%v run %d is active on %s but runs on %q", k, r.Number, r.VM, on)
				}
			}
		}
	})
	return what
}

// unfinishedProbe describes the probe job while it is not completed. It returns "" once it is.
func (c *faultCluster) unfinishedProbe() (what string) {
	c.sched.rep.View(func(st *state.State) {
		if j := st.Queues().Job("probe"); j.Status != queue.Completed {
			what = fmt.Sprintf("the probe is %s: %+v", j.Status, j.Occurrences[0].Steps)
		}
	})
	return what
}

// vmStates describes what the leader knows about each VM.
func (c *faultCluster) vmStates() (list []string) {
	now := steady.Now()
	c.sched.rep.View(func(st *state.State) {
		c.sched.mu.Lock()
		defer c.sched.mu.Unlock()
		for _, v := range c.vmList {
			info, vm := c.sched.fleet.vm(rudderfork.VMID(v.name)), st.Queues().VM(rudderfork.VMID(v.name))
			list = append(list, fmt.Sprintf("%s: usable %v, unresponsive %v, heartbeat %v ago, leased %v, session %v, state %+v, agent %q, executor %q",
				v.name, info.usable(now), info.heartbeat.Unresponsive, now.Sub(info.heartbeatAt), info.lease.Leased(now), info.session != nil, vm, v.agent.Incarnation(), v.exec.Incarnation()))
		}
	})
	return list
}

// waitUntilEmpty waits until problem returns "", and logs what it returns every second.
func (c *faultCluster) waitUntilEmpty(problem func() string) {
	c.t.Helper()
	limit, loggedAt := time.Now().Add(waitTimeout), time.Now()
	for {
		why := problem()
		switch {
		case why == "":
			return
		case time.Now().After(limit):
			c.t.Fatal(why, c.vmStates())
		case time.Since(loggedAt) > time.Second:
			loggedAt = time.Now()
			c.t.Log(why, c.vmStates())
		}
		steady.Pause(c.ctx, 20*time.Millisecond)
	}
}

// TestRunsNeverStartedAfterFaults guards against runs that stay active for the leader while no
// executor runs them, after random faults of executors, agents, connections and commits.
func TestRunsNeverStartedAfterFaults(t *testing.T) {
	for i := range *faultSeeds {
		seed := *faultFirstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newFaultCluster(t, seed)
			c.faultsActive.Store(true)
			for range faultEvents * (1 + int(seed%2)) {
				c.injectFault()
				steady.Pause(c.ctx, time.Duration(c.rng.IntN(100))*time.Millisecond)
			}
			c.endFaults()
			start := steady.Now()
			c.waitUntilEmpty(c.stalledTask)
			c.sched.rep.View(func(st *state.State) {
				t.Logf("settled after %v, the job is %s", steady.Now().Sub(start), st.Queues().Job("feed").Status)
			})
			c.submit("probe", "work=1ms", queue.Step{Count: faultVMs, MaxPerVM: 1, Size: rudderfork.Resources{CPUMilli: 100}})
			start = steady.Now()
			c.waitUntilEmpty(c.unfinishedProbe)
			t.Logf("probe completed after %v", steady.Now().Sub(start))
		})
	}
}
