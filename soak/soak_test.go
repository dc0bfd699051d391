//go:build proof

// Package soak runs the platform's path as real processes under faults drawn from a
// seed, and checks what clients and executors see of it. The schedule of faults and the
// jobs follow from the seed; what the processes do at which moment does not.
//
// A broken promise is LOST (accepted work that nobody does or tells of), TWICE (work done
// in two places, or again), MIXED (a count or state that is not so) or UNASKED.
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
	memoryDir    = "/dev/shm" // a file system without a disk
	startTimeout = 30 * time.Second
	// siteAttempts is how many sites are started at the most for one whose ports are free.
	siteAttempts = 4
	// finishTimeout is how long short jobs may take once the traffic has ended.
	finishTimeout = 14 * time.Second
	// settleTime is between that and the last questions, in which lasting tasks are watched.
	settleTime = 10 * time.Second
	// parentInterval is how often a run looks whether what started it is there.
	parentInterval = time.Second
	// queryWorkers ask for states at once.
	queryWorkers = 8
)

// TestMain ends a run, and with it its processes, when the command that started it is gone.
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
	assert.Assert(t, *binDir != "", "-bin or RUDDER_BIN names the folder of the programs")
	for _, cfg := range setups() {
		t.Run(fmt.Sprintf("seed %d", cfg.seed), func(t *testing.T) {
			if testing.Short() {
				t.Parallel()
			}
			run(t, cfg)
		})
	}
}

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

// runDir returns one for a run's files, which stay if it fails. It is in memory where that
// can be: a shared disk takes seconds for a sync at times, and leaders are deposed then, which
// no fault of the schedule explains.
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
		_ = os.RemoveAll(dir) // what is left does no harm
	})
	return dir
}

// startSite starts the whole site and hands in the document. A site whose ports another
// process has taken since they were chosen gives way to one with others.
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
	t.Fatal("ports were taken each time")
	return nil
}

// ready reports whether the site has the document, and its entries and group are ready.
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

func document() any {
	return standin.DocumentOf(1, "desk", true,
		standin.Queue{Name: "short", Host: queueHost, Prefix: shortQueue, Priority: 1, MaxAttempts: maxAttempts},
		standin.Queue{Name: "lasts", Host: queueHost, Prefix: lastingQueue, MaxAttempts: maxAttempts},
	)
}

// finish waits for the short jobs, and asks for all jobs at the end.
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

// panicText is what the log of a program says that ends by a panic.
const panicText = "panic:"

// addrInUse is what the log of a program says that can't have its port.
const addrInUse = "address already in use"

// countEvents counts lines of the programs' logs that bear on a verdict.
func countEvents(dir string) map[string]int {
	n := map[string]int{}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is sound
	for _, path := range logs {
		text, _ := os.ReadFile(path) // one that is not there counts for nothing
		for _, event := range []string{"run_overdue", "start_overdue", "vm_lost", panicText, addrInUse} {
			n[event] += strings.Count(string(text), event)
		}
	}
	return n
}
