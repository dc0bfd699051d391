// Command demo starts a small cluster on loopback and demonstrates requests, batch jobs,
// table edits, explanations and the loss of an upstream. It exits with 1 if a step fails.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/operator"
)

// limit is the time limit of the whole demo.
const limit = 55 * time.Second

func main() {
	bin := flag.String("bin", "bin", "folder of the binaries")
	dir := flag.String("dir", "", "folder for files; a temporary one by default")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	err := run(ctx, *bin, *dir)
	cancel()
	if err != nil {
		fmt.Println("DEMO FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("DEMO PASSED")
}

func run(ctx context.Context, bin, dir string) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "rudderfork-demo-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	bin, err := filepath.Abs(bin)
	if err != nil {
		return err
	}
	c := harness.New(dir, bin, harness.Options{
		Controls: 3, Entries: 2, Agents: 6, Reserved: 2000, CPU: 6000,
		UpstreamFlags: []string{"-slowdown", "0.2"},
	})
	defer c.Close()
	start := time.Now()
	if err := c.Start(); err != nil {
		return err
	}
	d := &demo{ctx: ctx, c: c, op: c.Operator(), start: start}
	for _, step := range []func() error{
		d.waitReady, d.feed, d.rebuild, d.holds, d.edit, d.reasons, d.killUpstream, d.finish,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	d.figures()
	return nil
}

// demo is the state that the steps share. The durations and counts are printed by
// figures.
type demo struct {
	ctx   context.Context
	c     *harness.Cluster
	op    *operator.Client
	start time.Time

	ready         time.Duration
	holdP99       time.Duration
	held          int
	inForce       time.Duration
	heldAfterKill int
	feedDone      chan error
	feedVM        string
	jobTook       time.Duration
	jobStart      time.Time
}

// job is the batch job of the demo, a nightly rebuild.
var job = rudderfork.JobSpec{
	ID: "roster-night", Team: "heritage", Kind: "roster", Tasks: 6, Units: 300,
	Cells: map[string]int64{rudderfork.ColCPU: 1000, rudderfork.ColMemory: 500},
}

// say prints a line with the time since the start of the demo.
func (d *demo) say(format string, args ...any) {
	fmt.Printf("%6.2fs  "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

// waitReady waits until the entries accept requests.
func (d *demo) waitReady() error {
	d.say("started: %v", d.c.Running())
	if err := d.c.WaitReady(d.ctx); err != nil {
		return err
	}
	d.ready = time.Since(d.start)
	d.say("both entries are ready; 6 upstreams in 3 failure domains")
	return nil
}

// feed opens a streaming response that lasts for most of the demo; finish checks that it
// was complete.
func (d *demo) feed() error {
	d.feedDone = make(chan error, 1)
	opened := make(chan string, 1)
	go func() { d.feedDone <- d.c.Caller("e1").Feed(d.ctx, "walk-7", 150, 40, opened) }()
	select {
	case d.feedVM = <-opened:
	case err := <-d.feedDone:
		return fmt.Errorf("the feed: %w", err)
	}
	d.say("opened a feed of 150 lines, one each 40 ms, from %s", d.feedVM)
	return nil
}

func (d *demo) rebuild() error {
	d.jobStart = time.Now()
	if _, err := d.op.Submit(d.ctx, job); err != nil {
		return err
	}
	d.say("submitted the nightly rebuild: %d tasks of %d units", job.Tasks, job.Units)
	return nil
}

// holds sends requests for seat holds through both entries, while the job runs.
func (d *demo) holds() error {
	calls := d.c.RunLoad(d.ctx, harness.Load{Callers: 8, PerCaller: 50, Keyed: true, Prefix: "seat"})
	d.held, d.holdP99 = calls.Answered, calls.Quantile(0.99)
	d.say("held %d seats through both entries: median %v, 99th percentile %v, %d refused", calls.Answered, calls.Quantile(0.5), d.holdP99, calls.Refused)
	if calls.Answered != 400 {
		return fmt.Errorf("%d of 400 holds were answered; first problem: %s", calls.Answered, calls.FirstProblem)
	}
	return nil
}

// edit changes a cell and waits until all entries and agents use the new table. A second
// edit that expects the old revision must be refused.
func (d *demo) edit() error {
	k := rudderfork.CellKey{Kind: rudderfork.RowService, Row: "tour-desk", Column: rudderfork.ColWeight}
	cell, err := d.op.Cell(d.ctx, k)
	if err != nil {
		return err
	}
	at := time.Now()
	res, err := d.op.Set(d.ctx, k, 300, cell.Revision, operator.NewID())
	if err != nil {
		return err
	}
	if err := d.c.WaitInForce(d.ctx, res.Revision, 8); err != nil {
		return err
	}
	d.inForce = time.Since(at)
	d.say("set %s to 300 at revision %d; in force on all 8 entries and agents after %v", k, res.Revision, d.inForce.Round(time.Millisecond))
	if _, err := d.op.Set(d.ctx, k, 200, cell.Revision, operator.NewID()); err == nil {
		return fmt.Errorf("a second edit with the old revision was accepted too")
	}
	d.say("a second operator with the old revision was refused")
	return nil
}

// reasons prints the explanation of a placement and the timeline of a request.
func (d *demo) reasons() error {
	e, err := d.op.Explain(d.ctx, "roster-night/0")
	if err != nil {
		return err
	}
	d.say("why does roster-night/0 run where it runs?")
	for _, s := range e.Sentences[:min(4, len(e.Sentences))] {
		fmt.Println("           ", s)
	}
	id, err := d.c.Caller("e1").Hold(d.ctx, "seat-x", "key-x", "tag-x")
	if err != nil {
		return err
	}
	d.say("the timeline of request %s, over all processes:", id)
	return d.timeline(id, 4)
}

// timeline prints the events about a subject. It fails if there are fewer than minEvents.
func (d *demo) timeline(subject string, minEvents int) error {
	es, err := d.c.Timeline(d.ctx, subject)
	if err != nil {
		return err
	}
	if len(es) < minEvents {
		return fmt.Errorf("the timeline of %s has %d events; want at least %d", subject, len(es), minEvents)
	}
	for _, e := range es {
		fmt.Println("           ", e)
	}
	return nil
}

// killUpstream kills an upstream. Most of the requests that follow must still be answered.
func (d *demo) killUpstream() error {
	// Don't kill the upstream that sends the feed, because the feed would be lost with it.
	victim := "u2"
	if d.feedVM == "vm2" {
		victim = "u3"
	}
	d.c.Proc(victim).Kill()
	d.say("killed the upstream %s", victim)
	calls := d.c.RunLoad(d.ctx, harness.Load{Callers: 8, PerCaller: 25, Keyed: true, Prefix: "after"})
	d.heldAfterKill = calls.Answered
	d.say("held %d more seats: 99th percentile %v, %d refused", calls.Answered, calls.Quantile(0.99), calls.Refused)
	if calls.Answered < 190 {
		return fmt.Errorf("%d of 200 holds were answered after a kill; first problem: %s", calls.Answered, calls.FirstProblem)
	}
	return nil
}

// finish waits for the job and the feed, checks that no hold was executed twice, and
// stops the cluster.
func (d *demo) finish() error {
	if err := d.c.WaitJob(d.ctx, job.ID); err != nil {
		return err
	}
	d.jobTook = time.Since(d.jobStart)
	d.say("the rebuild is done after %v; the timeline of one of its tasks:", d.jobTook.Round(time.Millisecond))
	if err := d.timeline("roster-night/0", 3); err != nil {
		return err
	}
	if err := <-d.feedDone; err != nil {
		return fmt.Errorf("the feed: %w", err)
	}
	d.say("the feed was received completely")
	runs, err := d.c.HoldCounts()
	if err != nil {
		return err
	}
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("the hold %s ran %d times", key, n)
		}
	}
	d.say("no hold ran twice (%d ran)", len(runs))
	return d.c.StopAll(d.ctx)
}

// figures prints the measurements of the demo.
func (d *demo) figures() {
	fmt.Printf("figures: ready after %.2fs, %d holds, 99th percentile %v, edit in force after %v, %d of 200 holds after a kill, rebuild %.1fs, all stopped after %.1fs\n",
		d.ready.Seconds(), d.held, d.holdP99, d.inForce.Round(time.Millisecond), d.heldAfterKill, d.jobTook.Seconds(), time.Since(d.start).Seconds())
}
