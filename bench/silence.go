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

// silenceRuns is how often each fault strikes.
const silenceRuns = 20

// Silence prints the time from a fault of the control processes' links to the first
// confirmed edit: the leader killed, and all links between them silent.
func Silence(w io.Writer, bin string) error {
	ctx, c, stop, err := cluster(bin, harness.Options{Agents: 1, Entries: 1, ElectionTimeout: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer stop()
	printHeading(w, "a fault to the first confirmed edit, 3 control processes, election timeout 500 ms, %d runs each", silenceRuns)
	faults := []struct {
		name   string
		strike func(lead string) error
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
		times, err := timeToEdit(ctx, c, f.strike)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s half within %6.0f ms, 95 of 100 within %6.0f ms\n", f.name, ms(quantile(times, 0.5)), ms(quantile(times, 0.95)))
	}
	return nil
}

// timeToEdit strikes again and again, and times the first edit after each.
func timeToEdit(ctx context.Context, c *harness.Cluster, strike func(lead string) error) (times []time.Duration, err error) {
	k := rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "timed", Column: rudderfork.ColWeight}
	for i := range silenceRuns {
		lead, err := leaderOf(ctx, c)
		if err != nil {
			return nil, err
		}
		cell, err := c.Operator().Cell(ctx, k)
		if err != nil {
			return nil, err
		}
		at := time.Now()
		if err := strike(lead); err != nil {
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
