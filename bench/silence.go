package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/harness"
	"rudderfork.example/rudderfork/operator"
)

// failoverRuns is how often each fault is injected.
const failoverRuns = 20

// Failover prints the time from a fault to the first confirmed edit. The faults are a
// killed leader, and open connections between control processes that discard all data,
// while new connections work.
func Failover(w io.Writer, bin string) error {
	ctx, c, stop, err := startCluster(bin, harness.Options{Agents: 1, Entries: 1, ElectionTimeout: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "a fault to the first confirmed edit, 3 control processes, election timeout 500 ms, %d runs each", failoverRuns)
	faults := []struct {
		name   string
		inject func(lead string) error
	}{
		{"leader killed", func(lead string) error {
			c.Proc(lead).Kill()
			return nil
		}},
		{"all links silent", func(string) error {
			c.Blackhole("c")
			return nil
		}},
	}
	for _, f := range faults {
		times, err := timeToFirstEdit(ctx, c, f.inject)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s half within %6.0f ms, 95 of 100 within %6.0f ms\n", f.name, ms(quantile(times, 0.5)), ms(quantile(times, 0.95)))
	}
	return nil
}

// timeToFirstEdit injects a fault failoverRuns times, and measures the time to the first
// confirmed edit after each.
func timeToFirstEdit(ctx context.Context, c *harness.Cluster, inject func(lead string) error) (times []time.Duration, err error) {
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "timed", Column: rudderfork.ColWeight}
	for i := range failoverRuns {
		lead, err := waitForLeader(ctx, c)
		if err != nil {
			return nil, err
		}
		cell, err := c.Operator().Cell(ctx, k)
		if err != nil {
			return nil, err
		}
		at := time.Now()
		if err := inject(lead); err != nil {
			return nil, err
		}
		if _, err := c.Operator().Set(ctx, k, int64(i+1), cell.Revision, operator.NewID()); err != nil {
			return nil, err
		}
		times = append(times, time.Since(at))
		if !c.Proc(lead).Running() {
			if err := c.StartProc(lead); err != nil {
				return nil, err
			}
		}
		if err := c.WaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return times, nil
}
