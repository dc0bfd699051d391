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
	calmVMs     = 4
	calmTasks   = 6   // of the lasting job
	calmCrashes = 1   // of executors in a schedule: with more, jobs are given up for them
	calmEvents  = 80  // of a schedule
	calmBorn    = 500 // when executors say that they began
	// platformLease is the longest lease of the users' platform.
	platformLease = 5 * time.Second
)

var (
	calmSeeds  = flag.Uint64("calm.seeds", 4, "schedules of TestCalmAfterFaults")
	calmFirst  = flag.Uint64("calm.first", 0, "its first seed")
	calmMisled = flag.Bool("calm.misled", false, "have executors answer as another life once")
)

// calmSite is a site whose faults end.
type calmSite struct {
	*site
	rng    *rand.Rand // of the schedule
	store  *heldStore
	faulty atomic.Bool
	list   []*calmVM
	crash  int
	outage int           // how long commits are held up, in about 0.7 s
	held   chan struct{} // what the store waits for; nil if it does not
}

const calmRoom = 4000

var calmDocument = &queue.Document{
	Version: 1, Queues: []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
	Pools: []queue.Pool{{Service: "desk"}},
}

func newCalmSite(t *testing.T, seed uint64) *calmSite {
	c := &calmSite{rng: rand.New(rand.NewPCG(seed, 5)), store: &heldStore{}, outage: 1}
	if seed%3 == 0 {
		c.outage = 5
	}
	rep := newReplicaOn(t, func(s replica.Store) replica.Store { c.store.Store = s; return c.store }, self)
	c.site = &site{t: t, ctx: t.Context()}
	c.sched = New(Settings{Lease: platformLease, StartSpan: 2 * time.Second, KeepStatus: time.Minute}, rep, nil, zerolog.Nop(), alone{})
	c.addr = listen(t, c.sched)
	c.front = front.New("front", c.seeds, zerolog.Nop())
	c.serve(rep, c.sched, c.front)
	for i := range calmVMs {
		c.addCalmVM(fmt.Sprintf("vm%d", i+1), seed)
	}
	c.until("the document is taken", func() bool {
		code := c.ask(wire.Ask{Put: calmDocument}).Code
		return code == queue.OK || code == queue.Stale // an earlier try may have been carried out
	})
	size := rudderfork.Resources{CPUMilli: 500}
	c.submit("feed", "", queue.Step{Count: calmTasks, Size: size, Lasting: true})
	c.submit("broken", "work=300ms fail", queue.Step{Count: 2, Size: size, Lasting: true})
	return c
}

func (c *calmSite) addCalmVM(name string, seed uint64) {
	link, err := faultlink.New(c.addr)
	assert.NilError(c.t, err)
	v := &calmVM{s: c, name: name, link: link, rng: rand.New(rand.NewPCG(seed, uint64(len(c.list))))}
	v.room.Store(calmRoom)
	v.exec = executor.New(v.nextLife(), executor.Config{
		Now: steady.Now, Room: rudderfork.Resources{CPUMilli: calmRoom, MemoryMB: 1000}, Rate: 0.99, StopTime: 100 * time.Millisecond,
		Fate: v.fate, Delay: func(string) time.Duration { return v.draw(3 * time.Second) },
	})
	c.list = append(c.list, v)
	v.startAgent()
	c.t.Cleanup(func() { v.stop(); link.Close() })
	go v.describe()
}

// event makes one fault.
func (c *calmSite) event() {
	v := c.list[c.rng.IntN(len(c.list))]
	switch c.rng.IntN(28) {
	case 0, 1:
		v.startAgent()
	case 2, 3:
		v.link.Lead(c.addr) // closes what is open
	case 4:
		v.link.Silence(faultlink.Forth)
	case 5:
		v.link.Silence(faultlink.Back)
	case 6:
		v.link.Silence(faultlink.Forth, faultlink.Back)
	case 7:
		v.exec.Flush()
	case 8, 9:
		v.room.Store(int64(c.rng.IntN(5)) * calmRoom / 4)
	case 10:
		if c.held == nil {
			held := make(chan struct{})
			c.held = held
			c.store.gate.Store(&held)
		}
	case 11, 12:
		if c.rng.IntN(c.outage) == 0 {
			c.letGo()
		}
	case 13:
		c.sched.endTerm() // the next round begins anew, as another leader does
	case 14:
		c.crashes(v)
	case 15, 16:
		if *calmMisled {
			v.mu.Lock()
			v.misled = 1
			v.mu.Unlock()
		}
	}
}

// letGo lets the store save again.
func (c *calmSite) letGo() {
	if c.held != nil {
		c.store.gate.Store(nil)
		close(c.held)
		c.held = nil
	}
}

// crashes has an executor crash, and come back under its id or another.
func (c *calmSite) crashes(v *calmVM) {
	if c.crash++; c.crash > calmCrashes {
		return
	}
	if c.rng.IntN(2) == 0 {
		v.exec.StartAgain()
		return
	}
	v.exec.Restart(v.nextLife())
}

// calm ends all faults.
func (c *calmSite) calm() {
	c.faulty.Store(false)
	c.letGo()
	for _, v := range c.list {
		v.room.Store(calmRoom)
		v.exec.Flush()
	}
}

// idle returns an active run of the lasting job that is not at work, or a task of it
// without one.
func (c *calmSite) idle() (what string) {
	working := map[rudderfork.RunRef]string{}
	for _, v := range c.list {
		for _, ref := range v.exec.Running() {
			working[ref] = v.name
		}
	}
	c.sched.rep.View(func(st *state.State) {
		j := st.Queues().Job("feed")
		if j.Status != queue.Running {
			return // it was given up, or has not begun
		}
		for i := range calmTasks {
			k := queue.TaskKey{Job: "feed", Index: i}
			list := j.Task(k).Runs
			if len(list) == 0 {
				what = fmt.Sprintf("%v has no run: %+v", k, *j.Task(k))
			}
			for _, r := range list {
				if on := working[k.Ref(r.Number)]; on != string(r.VM) {
					what = fmt.Sprintf("%v run %d is active on %s and at work on %q", k, r.Number, r.VM, on)
				}
			}
		}
	})
	return what
}

// unprobed returns what is left of the probe, by VM.
func (c *calmSite) unprobed() (what string) {
	c.sched.rep.View(func(st *state.State) {
		if j := st.Queues().Job("probe"); j.Status != queue.Completed {
			what = fmt.Sprintf("the probe is %s: %+v", j.Status, j.Times[0].Steps)
		}
	})
	return what
}

// usable returns what the leader knows of the VMs.
func (c *calmSite) usable() (list []string) {
	now := steady.Now()
	c.sched.rep.View(func(st *state.State) {
		c.sched.mu.Lock()
		defer c.sched.mu.Unlock()
		for _, v := range c.list {
			info, vm := c.sched.fleet.vm(rudderfork.VMID(v.name)), st.Queues().VM(rudderfork.VMID(v.name))
			list = append(list, fmt.Sprintf("%s usable %v mute %v beat %v ago, lease %v, session %v, state %+v, agent %q, executor %q",
				v.name, info.usable(now), info.beat.Mute, now.Sub(info.beatAt), info.lease.Leased(now), info.session != nil, vm, v.agent.Life(), v.exec.Life()))
		}
	})
	return list
}

// untilNot waits until a complaint is withdrawn.
func (c *calmSite) untilNot(complaint func() string) {
	c.t.Helper()
	limit, told := time.Now().Add(waitLimit), time.Now()
	for {
		why := complaint()
		switch {
		case why == "":
			return
		case time.Now().After(limit):
			c.t.Fatal(why, c.usable())
		case time.Since(told) > time.Second:
			told = time.Now()
			c.t.Log(why, c.usable())
		}
		steady.Pause(c.ctx, 20*time.Millisecond)
	}
}

// TestCalmAfterFaults guards against runs that the leader holds for active and no executor begins.
func TestCalmAfterFaults(t *testing.T) {
	for i := range *calmSeeds {
		seed := *calmFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newCalmSite(t, seed)
			c.faulty.Store(true)
			for range calmEvents * (1 + int(seed%2)) {
				c.event()
				steady.Pause(c.ctx, time.Duration(c.rng.IntN(100))*time.Millisecond)
			}
			c.calm()
			began := steady.Now()
			c.untilNot(c.idle)
			c.sched.rep.View(func(st *state.State) {
				t.Logf("settled after %v, the job is %s", steady.Now().Sub(began), st.Queues().Job("feed").Status)
			})
			c.submit("probe", "work=1ms", queue.Step{Count: calmVMs, MaxPerVM: 1, Size: rudderfork.Resources{CPUMilli: 100}})
			began = steady.Now()
			c.untilNot(c.unprobed)
			t.Logf("probed after %v", steady.Now().Sub(began))
		})
	}
}
