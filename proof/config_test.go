//go:build proof

package proof

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/operator"
)

// cellInput is a read or a compare-and-set of a cell by an operator.
type cellInput struct {
	cell  string // its row
	write bool
	ifRev rudderfork.Revision // expected revision of a write
	value int64
}

// cellOutput is the answer that the operator got.
type cellOutput struct {
	ok    bool // the write was accepted
	rev   rudderfork.Revision
	value int64
}

// cellState is the state of one cell in the model.
type cellState struct {
	rev   rudderfork.Revision
	value int64
}

// cellModel is a compare-and-set register. Operators retry until they have an answer, so
// the outcome of every operation is known.
var cellModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		m := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(cellInput).cell
			m[k] = append(m[k], op)
		}
		var parts [][]porcupine.Operation
		for _, p := range m {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return cellState{value: 64} },
	Step: func(st, in, out any) (bool, any) {
		s, a, r := st.(cellState), in.(cellInput), out.(cellOutput)
		switch {
		case !a.write:
			return r.rev == s.rev && r.value == s.value, s
		case !r.ok:
			return a.ifRev != s.rev, s
		}
		return a.ifRev == s.rev && r.rev > s.rev, cellState{r.rev, a.value}
	},
}

// operators edit random cells concurrently. Each edit names the revision that was read
// before, and is retried with the same ID until there is an answer.
type operators struct {
	c             *harness.Cluster
	mu            sync.Mutex
	ops           []porcupine.Operation
	acceptedEdits int
	conflicts     int                 // edits rejected because the cell had another revision
	newest        rudderfork.Revision // highest revision of an accepted edit
}

// run reads and edits cells until stop closes.
func (o *operators) run(ctx context.Context, t *testing.T, client int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(client), 7))
	op := o.c.Operator()
	for {
		select {
		case <-stop:
			return
		default:
		}
		row := fmt.Sprintf("svc%d", rng.IntN(3))
		k := rudderfork.CellKey{Kind: rudderfork.RowService, Row: row, Column: rudderfork.ColQueue}
		from := time.Now().UnixNano()
		cell, err := op.Cell(ctx, k)
		if ctx.Err() != nil {
			return
		}
		assert.Check(t, err)
		o.record(client, from, cellInput{cell: row}, cellOutput{rev: cell.Revision, value: cell.Value})
		a := cellInput{cell: row, write: true, ifRev: cell.Revision, value: rng.Int64N(10_000)}
		from = time.Now().UnixNano()
		res, err := op.Set(ctx, k, a.value, a.ifRev, operator.NewID())
		if ctx.Err() != nil {
			return
		}
		var p *rudderfork.Problem
		if err != nil && (!errors.As(err, &p) || p.Status != http.StatusPreconditionFailed) {
			assert.Check(t, err)
			return
		}
		o.record(client, from, a, cellOutput{ok: err == nil, rev: res.Revision})
	}
}

// record adds an operation that has just returned to the history.
func (o *operators) record(client int, from int64, a cellInput, r cellOutput) {
	to := time.Now().UnixNano()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ops = append(o.ops, porcupine.Operation{ClientId: client, Input: a, Output: r, Call: from, Return: to})
	switch {
	case a.write && r.ok:
		o.acceptedEdits++
		o.newest = max(o.newest, r.rev)
	case a.write:
		o.conflicts++
	}
}

// accepted returns the number of accepted edits.
func (o *operators) accepted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptedEdits
}

// revision reads the revision of the table in force at an entry or agent from its metrics.
// ok is false while the process does not answer or has no table.
func revision(p *harness.Proc) (rev rudderfork.Revision, ok bool) {
	hc := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := hc.Get("http://" + p.Admin() + "/metrics")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if name, val, _ := strings.Cut(sc.Text(), " "); strings.HasSuffix(name, "_table_revision") && name[0] != '#' {
			f, err := strconv.ParseFloat(val, 64)
			return rudderfork.Revision(f), err == nil && f > 0
		}
	}
	return 0, false
}

// watchRevisions polls the revision in force at every node until ctx ends, and reports any
// decrease, also across a restart of the process.
func watchRevisions(ctx context.Context, t *testing.T, c *harness.Cluster, nodes []string) {
	highest := map[string]rudderfork.Revision{}
	for ctx.Err() == nil {
		for _, n := range nodes {
			if rev, ok := revision(c.Proc(n)); ok {
				assert.Check(t, rev >= highest[n], "%s fell from revision %d to %d", n, highest[n], rev)
				highest[n] = max(highest[n], rev)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// configFaults are the faults of TestProveConfig.
var configFaults = []fault{
	{"the leader is killed", batchFaults[0].run},
	{"the leader is frozen and thaws after another was elected", batchFaults[1].run},
	{"all links of the leader are cut", batchFaults[2].run},
	{"the leader can send but not receive", batchFaults[3].run},
	{"operators' answers are lost", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		for _, n := range controlNames {
			c.Link("op", n).LoseAnswers(100)
		}
		time.Sleep(time.Second)
		for _, n := range controlNames {
			c.Link("op", n).Heal()
		}
		waitLeader(ctx, t, c, "")
	}},
	{"all control processes are killed at once", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		for _, n := range controlNames {
			c.Proc(n).Kill()
		}
		for _, n := range controlNames {
			assert.NilError(t, c.StartProc(n))
		}
		waitLeader(ctx, t, c, "")
	}},
	{"an entry and an agent are killed", func(_ context.Context, t *testing.T, c *harness.Cluster) {
		for _, n := range []string{"e1", "a1"} {
			c.Proc(n).Kill()
			assert.NilError(t, c.StartProc(n))
		}
	}},
	{"a disk is lost, and another one right after the repair", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		loseDisk(ctx, t, c, "c1")
		loseDisk(ctx, t, c, "c2")
	}},
	{"a bit of a log flips", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc("c3").Kill()
		flipBit(t, c.Data("c3"))
		assert.NilError(t, c.StartProc("c3"))
		waitVoter(ctx, t, c, "c3")
	}},
	{"an entry restarts while control cannot be reached", func(_ context.Context, t *testing.T, c *harness.Cluster) {
		c.Isolate("e2")
		c.Proc("e2").Kill()
		assert.NilError(t, c.StartProc("e2"))
		a := c.Caller("e2").HoldOnce(t.Context(), "x", "", "x")
		assert.Assert(t, a.Problem != nil && a.Problem.Ran == rudderfork.RanNo, "it served without a table: %+v", a)
		c.Rejoin("e2")
	}},
}

// loseDisk kills a control process, removes its data folder, restarts it, and waits until
// it is a voter again under a new ID.
func loseDisk(ctx context.Context, t *testing.T, c *harness.Cluster, name string) {
	t.Helper()
	c.Proc(name).Kill()
	assert.NilError(t, os.RemoveAll(c.Data(name)))
	assert.NilError(t, c.StartProc(name))
	waitVoter(ctx, t, c, name)
}

// waitVoter waits until a control process is a voter under its current ID, and the group
// has no voter under an earlier one.
func waitVoter(ctx context.Context, t *testing.T, c *harness.Cluster, name string) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, name+" to be a voter again", func() error {
		self, err := status(ctx, c, name)
		if err != nil {
			return err
		}
		st, err := status(ctx, c, waitLeader(ctx, t, c, ""))
		if err != nil {
			return err
		}
		voters := 0
		found := false
		for _, m := range st.Members {
			if m.Voter {
				voters++
				found = found || m.ID == self.ID
			}
		}
		if !found || voters != len(controlNames) {
			return fmt.Errorf("the members are %v", st.Members)
		}
		return nil
	}))
}

// flipBit flips a bit in the middle of a log file in dir.
func flipBit(t *testing.T, dir string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "log-*"))
	assert.NilError(t, err)
	assert.Assert(t, len(logs) > 0)
	b, err := os.ReadFile(logs[0])
	assert.NilError(t, err)
	b[len(b)/2] ^= 4
	assert.NilError(t, os.WriteFile(logs[0], b, 0o644))
}

// TestProveConfig tests that an accepted edit is in force on every node within seconds and
// never reverts, and that no accepted edit is lost, while operators edit the same cells
// concurrently under faults.
func TestProveConfig(t *testing.T) {
	o := &operators{}
	var times []time.Duration
	prove(t, "an accepted configuration is in force in seconds and never reverts", func() string {
		slices.Sort(times)
		return fmt.Sprintf("%d edits timed at 5 entries and agents: median %v, slowest %v; %d faults, no revision fell",
			len(times), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond), len(configFaults))
	})
	prove(t, "no accepted edit is lost", func() string {
		return fmt.Sprintf("%d reads and edits by 4 operators are linearizable, %d edits won, %d lost a race", len(o.ops), o.acceptedEdits, o.conflicts)
	})
	ctx, c := startCluster(t, harness.Options{Agents: 3, Entries: 2, SnapshotEvery: 300})
	o.c = c
	nodes := []string{"e1", "e2", "a1", "a2", "a3"}
	var wg sync.WaitGroup
	watchCtx, stopWatch := context.WithCancel(ctx)
	wg.Go(func() { watchRevisions(watchCtx, t, c, nodes) })
	stop := make(chan struct{})
	var editing sync.WaitGroup
	for i := range 4 {
		editing.Go(func() { o.run(ctx, t, i, stop) })
	}
	for _, f := range configFaults {
		at := time.Now()
		f.run(ctx, t, c)
		t.Logf("%s: healed after %v", f.name, time.Since(at).Round(time.Millisecond))
		times = append(times, timeInForce(ctx, t, c, nodes, len(times)))
	}
	assert.NilError(t, harness.Until(ctx, "1000 edits", func() error {
		if n := o.accepted(); n < 1000 {
			return fmt.Errorf("%d are accepted", n)
		}
		return nil
	}))
	close(stop)
	editing.Wait()
	// Restart after more than 1,000 changes.
	for _, n := range controlNames {
		c.Proc(n).Kill()
	}
	for _, n := range controlNames {
		assert.NilError(t, c.StartProc(n))
	}
	times = append(times, timeInForce(ctx, t, c, nodes, len(times)))
	stopWatch()
	wg.Wait()
	o.finalReads(ctx, t)
	res := porcupine.CheckOperationsTimeout(cellModel, o.ops, time.Minute)
	assert.Equal(t, res, porcupine.Ok, "the history is not linearizable")
}

// finalReads adds a read of each cell after all faults to the history.
func (o *operators) finalReads(ctx context.Context, t *testing.T) {
	t.Helper()
	for i := range 3 {
		row := fmt.Sprintf("svc%d", i)
		from := time.Now().UnixNano()
		cell, err := o.c.Operator().Cell(ctx, rudderfork.CellKey{Kind: rudderfork.RowService, Row: row, Column: rudderfork.ColQueue})
		assert.NilError(t, err)
		o.record(9, from, cellInput{cell: row}, cellOutput{rev: cell.Revision, value: cell.Value})
	}
}

// timeInForce makes an edit and returns the time from its acceptance until every
// node has it in force.
func timeInForce(ctx context.Context, t *testing.T, c *harness.Cluster, nodes []string, n int) time.Duration {
	t.Helper()
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "timed", Column: rudderfork.ColWeight}
	op := c.Operator()
	cell, err := op.Cell(ctx, k)
	assert.NilError(t, err)
	res, err := op.Set(ctx, k, int64(1+n), cell.Revision, operator.NewID())
	assert.NilError(t, err)
	at := time.Now()
	assert.NilError(t, harness.Until(ctx, "the edit to be in force", func() error {
		for _, node := range nodes {
			if rev, ok := revision(c.Proc(node)); !ok || rev < res.Revision {
				return fmt.Errorf("%s has revision %d, want %d", node, rev, res.Revision)
			}
		}
		return nil
	}))
	return time.Since(at)
}
