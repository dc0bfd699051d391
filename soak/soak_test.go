//go:build proof

// Package soak runs the real processes of the platform under faults drawn from a seed, and
// checks what clients and executors observe. The schedule of faults and the jobs follow
// from the seed; the timing inside the processes does not.
//
// A violation is LOST (accepted work that is neither done nor reported as ended), TWICE
// (work that runs in two places, or again), MIXED (a wrong count or state) or UNASKED
// (work that no client submitted, or that was refused). Even seeds run with all scheduling
// policies on.
package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/platform/standin"
)

var (
	firstSeed        = flag.Uint64("seed", 1, "first seed")
	seedCount        = flag.Int("seeds", 1, "number of seeds")
	machineCount     = flag.Int("machines", 12, "side machines")
	trafficSeconds   = flag.Int("seconds", 45, "of traffic")
	onlyKinds        = flag.String("only", "", "kinds of faults, separated by commas; none means all")
	excludedKinds    = flag.String("without", "", "kinds of faults that are left out, separated by commas")
	endWithPowerLoss = flag.Bool("dark", true, "end with a loss of power and of two core disks")
	rerunFailed      = flag.Bool("failed", false, "run the setups that have failed before instead")
	lossPercent      = flag.Int("lossy", 0, "percent of orders that are lost or carried out late, all the time")
	keepDir          = flag.String("keep", "", "folder for the files of runs, best without a disk; none means that only those of failed runs stay")
	binDir           = flag.String("bin", os.Getenv("RUDDER_BIN"), "folder of the programs")
)

const (
	memoryDir    = "/dev/shm"       // a file system in memory
	startTimeout = 30 * time.Second // until a site serves
	// siteAttempts is how many sites are started at most until one finds its ports free.
	siteAttempts = 4
	// finishTimeout is how long short jobs may take after the end of the traffic.
	finishTimeout = 14 * time.Second
	// settleTime is the time between the end of the short jobs and the last queries; lasting
	// tasks are still checked meanwhile.
	settleTime = 10 * time.Second
	// parentInterval is the time between two checks that the parent process still exists.
	parentInterval = time.Second
	// queryWorkers is the number of concurrent state queries.
	queryWorkers = 8
)

// TestMain ends the tests, and thereby the processes that they started, when the parent
// process is gone.
func TestMain(m *testing.M) {
	parent := os.Getppid()
	go func() {
		for os.Getppid() == parent {
			time.Sleep(parentInterval)
		}
		os.Exit(1)
	}()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	assert.Assert(t, *binDir != "", "set -bin or RUDDER_BIN to the folder of the programs")
	for _, cfg := range setups() {
		t.Run(fmt.Sprintf("seed %d", cfg.seed), func(t *testing.T) {
			if testing.Short() {
				t.Parallel()
			}
			run(t, cfg)
		})
	}
}

// run runs one setup, and fails the test with all violations found.
func run(t *testing.T, cfg setup) {
	dir := runDir(t, cfg.seed)
	timeline, err := os.Create(filepath.Join(dir, "timeline"))
	assert.NilError(t, err)
	defer timeline.Close()
	checks := newChecker(func(text string) { fmt.Fprintln(timeline, text) })
	s := startSite(t, dir, cfg, checks)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := &clients{site: s, checker: checks, seed: cfg.seed, rnd: rand.New(rand.NewPCG(cfg.seed, 2))}
	checks.startedAt = time.Now()
	c.startQueries(ctx)
	c.wg.Go(func() { s.inject(drawSchedule(cfg)) })
	c.runTraffic(ctx, cfg.duration, cfg.machines)
	c.finish(ctx)
	cancel()
	c.wg.Wait()
	logCounts := countEvents(s.dir)
	t.Logf("%d jobs taken, %d refused; %d counts judged, least share %.2f; in calm and with room a lasting task was away for %v at most; in the logs: %v",
		c.accepted.Load(), c.rejected.Load(), checks.checkedCounts, checks.leastShare, checks.longestAbsence, logCounts)
	for _, text := range checks.violations {
		t.Error(text)
	}
	assert.Equal(t, logCounts[panicText], 0)
}

// runDir returns the folder for the files of a run, which is kept if the run fails. It is
// in memory if possible: a sync on a shared disk sometimes takes seconds, and then the
// group replaces its leader without any fault of the schedule.
func runDir(t *testing.T, seed uint64) (dir string) {
	if *keepDir != "" {
		dir = filepath.Join(*keepDir, fmt.Sprintf("seed-%d", seed))
		assert.NilError(t, os.RemoveAll(dir))
		assert.NilError(t, os.MkdirAll(dir, 0o755))
		return dir
	}
	dir, err := os.MkdirTemp(memoryDir, "rudderfork-soak-")
	if err != nil {
		dir, err = os.MkdirTemp("", "rudderfork-soak-")
	}
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the files are in %s", dir)
			return
		}
		_ = os.RemoveAll(dir) // leftover files do no harm
	})
	return dir
}

// startSite starts all processes and submits the document. If another process has taken a
// port since the ports were chosen, it starts a new site with other ports.
func startSite(t *testing.T, dir string, cfg setup, checks *checker) *site {
	for i := range siteAttempts {
		s, err := newSite(*binDir, filepath.Join(dir, fmt.Sprintf("site-%d", i+1)), cfg.seed, checks)
		assert.NilError(t, err)
		t.Cleanup(s.killAndClose)
		err = s.start(cfg.machines)
		portTaken := errors.Is(err, syscall.EADDRINUSE)
		assert.Assert(t, err == nil || portTaken, "%v", err)
		waitUntil(t, "the entries serve both queues", func(ctx context.Context) bool {
			portTaken = portTaken || countEvents(s.dir)[addrInUse] > 0
			return portTaken || s.ready(ctx)
		})
		if !portTaken {
			return s
		}
		checks.logf("another process has a port")
		s.killAndClose()
	}
	t.Fatal("a port was in use at every attempt")
	return nil
}

// ready reports whether the site has accepted the document, the entries serve its queues,
// and the group has all voters.
func (s *site) ready(ctx context.Context) bool {
	status, _, err := standin.Call(ctx, http.MethodPut, "http://"+s.ControlAddr(0)+"/config", "", document())
	if err != nil || status != http.StatusOK {
		return false
	}
	for e := range entryCount {
		for _, q := range []string{shortQueue, lastingQueue} {
			status, _, err := standin.Call(ctx, http.MethodGet, "http://"+s.FrontAddr(e)+q, queueHost, nil)
			if err != nil || status != http.StatusOK {
				return false
			}
		}
	}
	return s.HasAllVoters()
}

// waitUntil waits until ok returns true, and fails the test after startTimeout.
func waitUntil(t *testing.T, what string, ok func(ctx context.Context) bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if ok(ctx) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(startTimeout), poll.WithDelay(100*time.Millisecond))
}

// document returns the document that configures the two queues.
func document() any {
	return standin.DocumentOf(1, "desk", true,
		standin.Queue{Name: "short", Host: queueHost, Prefix: shortQueue, Priority: 1, MaxAttempts: maxAttempts},
		standin.Queue{Name: "lasts", Host: queueHost, Prefix: lastingQueue, MaxAttempts: maxAttempts},
	)
}

// finish waits for the short jobs, reports those that have not ended, and queries the
// states of all jobs once more.
func (c *clients) finish(ctx context.Context) {
	c.checker.logf("the traffic ends")
	for end := time.Now().Add(finishTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		js := c.checker.acceptedJobs(true)
		if len(js) == 0 {
			break
		}
		var wg sync.WaitGroup
		for i := range queryWorkers {
			wg.Go(func() {
				for k := i; k < len(js); k += queryWorkers {
					c.queryState(ctx, k%entryCount, js[k])
				}
			})
		}
		wg.Wait()
	}
	unfinished := c.checker.acceptedJobs(true)
	time.Sleep(settleTime)
	c.checker.mu.Lock()
	for _, j := range unfinished {
		c.checker.addViolation("LOST: %s has no end %v after the traffic's end, %d of %d tasks done", j.id, finishTimeout, j.doneTasks(), j.tasks)
	}
	c.checker.mu.Unlock()
	for i, j := range c.checker.acceptedJobs(false) {
		if c.queryState(ctx, i%entryCount, j) == 0 && c.queryState(ctx, (i+1)%entryCount, j) == 0 {
			c.checker.mu.Lock()
			c.checker.addViolation("LOST: no answer for %s at the end, nor asked for the others", j.id)
			c.checker.mu.Unlock()
			break
		}
	}
}

// panicText occurs in the log of a process that ended with a panic.
const panicText = "panic:"

// addrInUse occurs in the log of a process whose port was in use.
const addrInUse = "address already in use"

// countEvents counts the events in the logs of the processes that help to judge a run.
func countEvents(dir string) map[string]int {
	n := map[string]int{}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is valid
	for _, path := range logs {
		text, _ := os.ReadFile(path) // a missing file has no events
		for _, event := range []string{"run_overdue", "start_overdue", "vm_lost", panicText, addrInUse} {
			n[event] += strings.Count(string(text), event)
		}
	}
	return n
}
