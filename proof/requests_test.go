//go:build proof

package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/operator"
)

// faultDuration is how long a fault on the request path lasts. Many requests are sent in
// this time.
const faultDuration = 700 * time.Millisecond

// timedFault returns a function that injects a fault and heals it after faultDuration.
func timedFault(inject, heal func(c *harness.Cluster)) func(context.Context, *testing.T, *harness.Cluster) {
	return func(_ context.Context, _ *testing.T, c *harness.Cluster) {
		inject(c)
		time.Sleep(faultDuration)
		heal(c)
	}
}

func killFault(name string) fault {
	return fault{name + " is killed", func(_ context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc(name).Kill()
		time.Sleep(faultDuration)
		assert.NilError(t, c.StartProc(name))
	}}
}

func freezeFault(name string) fault {
	return fault{name + " is frozen", timedFault(
		func(c *harness.Cluster) { c.Proc(name).Freeze() }, func(c *harness.Cluster) { c.Proc(name).Thaw() })}
}

func cutFault(from, to string) fault {
	return fault{from + ">" + to + " is cut", timedFault(
		func(c *harness.Cluster) { c.Link(from, to).Cut() }, func(c *harness.Cluster) { c.Link(from, to).Heal() })}
}

func responseLossFault(from, to string) fault {
	return fault{"answers on " + from + ">" + to + " are lost", timedFault(
		func(c *harness.Cluster) { c.Link(from, to).CutOneWay(false) }, func(c *harness.Cluster) { c.Link(from, to).Heal() })}
}

func truncationFault(from, to string, bytes int) fault {
	return fault{fmt.Sprintf("answers on %s>%s end after %d bytes", from, to, bytes), timedFault(
		func(c *harness.Cluster) { c.Link(from, to).LoseAnswers(bytes) }, func(c *harness.Cluster) { c.Link(from, to).Heal() })}
}

func delayFault(from, to string) fault {
	return fault{from + ">" + to + " is late and out of order", timedFault(
		func(c *harness.Cluster) { c.Link(from, to).Delay(30, 60) }, func(c *harness.Cluster) { c.Link(from, to).Heal() })}
}

func crashFault(name, point string) fault {
	return fault{name + " crashes at " + point, func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc(name).Kill()
		assert.NilError(t, c.StartWithCrash(name, point))
		waitExit(ctx, t, c, name)
		assert.NilError(t, c.StartProc(name))
	}}
}

// overload limits each upstream to one slot and no queue for faultDuration.
func overload(ctx context.Context, t *testing.T, c *harness.Cluster) {
	op := c.Operator()
	set := func(slots, queue int64) {
		for col, v := range map[string]int64{rudderfork.ColSlots: slots, rudderfork.ColQueue: queue} {
			k := rudderfork.CellKey{Kind: rudderfork.RowService, Row: "tour-desk", Column: col}
			cell, err := op.Cell(ctx, k)
			assert.NilError(t, err)
			_, err = op.Set(ctx, k, v, cell.Revision, operator.NewID())
			assert.NilError(t, err)
		}
	}
	set(1, 0)
	time.Sleep(faultDuration)
	set(8, 64)
}

// killUpstreams kills all upstreams, and restarts them after faultDuration.
func killUpstreams(_ context.Context, t *testing.T, c *harness.Cluster) {
	ups := []string{"u1", "u2", "u3"}
	for _, u := range ups {
		c.Proc(u).Kill()
	}
	time.Sleep(faultDuration)
	for _, u := range ups {
		assert.NilError(t, c.StartProc(u))
	}
}

// requestFaults are the faults of TestProveRequests. All but the first two spare e2 and
// vm3, so that requests still have a working path.
var requestFaults = []fault{
	{"the upstreams are overloaded", overload},
	{"all upstreams are killed", killUpstreams},
	killFault("u1"), killFault("a1"), killFault("e1"),
	freezeFault("u1"), freezeFault("a2"), freezeFault("e1"),
	cutFault("e", "a1"), responseLossFault("e", "a2"), truncationFault("e", "a1", 150), delayFault("e", "a2"),
	cutFault("a1", "u1"), responseLossFault("a2", "u2"), truncationFault("a1", "u1", 150), delayFault("a1", "u1"),
	cutFault("e1", "c1"),
	crashFault("e1", crash.EntryClaimed), crashFault("e1", crash.EntrySent), crashFault("e1", crash.EntryAnswered),
	crashFault("a1", crash.AgentBegun), crashFault("a1", crash.AgentForwarded),
	{"the leader is killed", batchFaults[0].run},
	{"all links of the leader are cut", batchFaults[2].run},
}

// TestProveRequests tests the three guarantees about requests: a caller gets the complete
// response to its own request, a refusal that says that the request did not run is true,
// and a keyed request runs at most once. Callers hold seats through both entries, with and
// without an idempotency key, and retry the keyed holds.
func TestProveRequests(t *testing.T) {
	var keyed, plain, big *harness.Calls
	prove(t, "a caller gets the whole answer to its own request", func() string {
		return fmt.Sprintf("%d holds and %d long answers, none crossed or cut unseen, under %d faults", keyed.Answered+plain.Answered, big.Answered, len(requestFaults))
	})
	prove(t, "a refusal that says it did not run is true", func() string {
		return fmt.Sprintf("%d refusals, none ran; %d answers said unknown", len(plain.NotRunIDs)+len(keyed.NotRunIDs), plain.Unknown+keyed.Unknown)
	})
	prove(t, "a keyed request runs at most once", func() string {
		return fmt.Sprintf("%d keyed holds, each resent up to 5 times through other entries, none ran twice, %d were answered", keyed.Answered+keyed.Refused+keyed.Unknown, keyed.Answered)
	})
	ctx, c := startCluster(t, harness.Options{Agents: 3, Entries: 2})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	const unlimited = 1 << 20
	load := harness.Load{Callers: 6, PerCaller: unlimited, Stop: stop, Pause: 3 * time.Millisecond, Timeout: 3 * time.Second}
	wg.Go(func() {
		l := load
		l.Prefix, l.Keyed, l.MaxRetries = "k", true, 5
		keyed = c.RunLoad(ctx, l)
	})
	wg.Go(func() {
		l := load
		l.Prefix = "p"
		plain = c.RunLoad(ctx, l)
	})
	wg.Go(func() {
		l := load
		l.Callers, l.Prefix, l.Big = 2, "b", 200_000
		big = c.RunLoad(ctx, l)
	})
	for _, f := range requestFaults {
		at := time.Now()
		f.run(ctx, t, c)
		t.Logf("%s: healed after %v", f.name, time.Since(at).Round(time.Millisecond))
	}
	close(stop)
	wg.Wait()
	runs, err := c.HoldCounts()
	assert.NilError(t, err)
	for _, calls := range []*harness.Calls{keyed, plain, big} {
		assert.Equal(t, len(calls.Mismatched), 0, "%s", strings.Join(calls.Mismatched, "; "))
		for _, id := range calls.NotRunIDs {
			assert.Check(t, runs[id] == 0, "%s was said not to have run, and ran %d times", id, runs[id])
		}
	}
	for id, n := range runs {
		assert.Check(t, n <= 1, "%s ran %d times", id, n)
	}
	for _, id := range append(keyed.AnsweredIDs, plain.AnsweredIDs...) {
		assert.Check(t, runs[id] == 1, "%s was answered and ran %d times", id, runs[id])
	}
	assert.Assert(t, keyed.Answered > 500 && len(keyed.NotRunIDs)+len(plain.NotRunIDs) > 0, "too few requests for a verdict: %d keyed holds answered", keyed.Answered)
}

// startLeaving tells the platform that a VM is leaving, and returns the time of that call.
func startLeaving(t *testing.T, c *harness.Cluster, vm string) time.Time {
	t.Helper()
	at := time.Now()
	resp, err := http.Post("http://"+c.Proc("platform").Listen()+"/vms/"+vm+"/leave", "", nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return at
}

// lastRequestStart returns when the last request started on a VM's upstream.
func lastRequestStart(t *testing.T, c *harness.Cluster, vm string) (last time.Time) {
	t.Helper()
	rs, err := c.RequestStarts()
	assert.NilError(t, err)
	for _, r := range rs {
		if at := time.UnixMicro(r.At); r.VM == vm && at.After(last) {
			last = at
		}
	}
	return last
}

// TestProveLeaving tests that a leaving upstream gets no new requests after a few seconds,
// although the platform's list of VMs lags by one second, and also when the leader is
// killed meanwhile.
func TestProveLeaving(t *testing.T) {
	const lag, maxDelay = time.Second, 5 * time.Second
	var delays [2]time.Duration
	var calls *harness.Calls
	prove(t, "a leaving upstream gets no new work after a few seconds", func() string {
		return fmt.Sprintf("last request %v after it began to leave, %v with the leader killed meanwhile (list lags by %v); of %d requests %d were refused",
			delays[0].Round(time.Millisecond), delays[1].Round(time.Millisecond), lag, calls.Answered+calls.Refused+calls.Unknown, calls.Refused)
	})
	ctx, c := startCluster(t, harness.Options{Agents: 4, Entries: 2, PlatformLag: lag})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		calls = c.RunLoad(ctx, harness.Load{Callers: 8, PerCaller: 1 << 20, Prefix: "l", Stop: stop})
	})
	for i, vm := range []string{"vm1", "vm2"} {
		at := startLeaving(t, c, vm)
		if i == 1 {
			l := waitLeader(ctx, t, c, "")
			c.Proc(l).Kill()
			waitLeader(ctx, t, c, l)
		}
		waitDraining(ctx, t, c, vm)
		// Wait until no request has started there for two seconds.
		assert.NilError(t, harness.Until(ctx, vm+" to get no more requests", func() error {
			if quiet := time.Since(lastRequestStart(t, c, vm)); quiet < 2*time.Second {
				return fmt.Errorf("the last one started %v ago", quiet)
			}
			return nil
		}))
		delays[i] = lastRequestStart(t, c, vm).Sub(at)
		assert.Assert(t, delays[i] < maxDelay, "%s got work %v after it began to leave", vm, delays[i])
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, calls.Unknown+calls.Refused, 0, calls.FirstProblem)
}

// waitDraining waits until control lists a VM as draining.
func waitDraining(ctx context.Context, t *testing.T, c *harness.Cluster, vm string) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, vm+" to drain", func() error {
		vms, err := c.Operator().VMs(ctx)
		if err != nil {
			return err
		}
		for _, v := range vms {
			if string(v.VM) == vm && v.Draining {
				return nil
			}
		}
		return errors.New("it is not draining")
	}))
}

// TestProvePlannedStop shuts down each kind of process gracefully under load, with feeds
// open through it, and tests that nothing in progress is cut off.
func TestProvePlannedStop(t *testing.T) {
	const feeds = 6
	var calls *harness.Calls
	stops := []string{"e1", "a1", "", "a2"} // processes to stop; "" means the leader
	prove(t, "a planned stop cuts off nothing in progress", func() string {
		return fmt.Sprintf("an entry, two agents and the leader stopped under load: %d holds and %d feeds, all whole", calls.Answered, feeds)
	})
	ctx, c := startCluster(t, harness.Options{Agents: 3, Entries: 2})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		calls = c.RunLoad(ctx, harness.Load{Callers: 8, PerCaller: 1 << 20, Prefix: "s", Stop: stop, Balanced: true, Query: "&ms=40"})
	})
	errs := make(chan error, feeds)
	for i := range feeds {
		go func() { errs <- c.Caller([]string{"e1", "e2"}[i%2]).Feed(ctx, fmt.Sprint("walk", i), 150, 20, nil) }()
	}
	waitFeeds(ctx, t, c, feeds)
	for _, name := range stops {
		if name == "" {
			name = waitLeader(ctx, t, c, "")
		}
		c.Proc(name).Term()
		waitExit(ctx, t, c, name)
		assert.Equal(t, c.Proc(name).Code(), 0, "%s", name)
	}
	for range feeds {
		assert.Check(t, <-errs)
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, calls.Unknown+calls.Refused, 0, calls.FirstProblem)
	assert.Equal(t, len(calls.Mismatched), 0)
}

// waitFeeds waits until the upstreams have n open feeds.
func waitFeeds(ctx context.Context, t *testing.T, c *harness.Cluster, n int) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, "the feeds to be open", func() error {
		es, err := c.Timeline(ctx, "")
		if err != nil {
			return err
		}
		open := 0
		for _, e := range es {
			if e.Kind == "answering" && strings.Contains(e.Text, "feed") {
				open++
			}
		}
		if open < n {
			return fmt.Errorf("%d are open", open)
		}
		return nil
	}))
}
