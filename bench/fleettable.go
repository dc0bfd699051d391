package bench

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"rudderfork.example/rudderfork/internal/errs"
)

// fleetSizes are the numbers of VMs that Fleet runs.
var fleetSizes = []int{100, 300, 1_000}

// Fleet returns a section that runs a leader with fleets of several sizes and prints a table
// of the results. It also writes the table to csvFile unless that is empty.
func Fleet(csvFile string) func(w io.Writer) error {
	return func(w io.Writer) (err error) {
		printHeading(w, "a leader with a fleet on loopback, %v a sync; in the middle the leader is lost, in a second play %.0f%% of the VMs (ms)", fleetSyncDelay, 100*fleetStoppedShare)
		table := [][]string{{"VMs", "jobs", "first p50", "p95", "next p50", "p95", "answer p50", "p95", "led", "started", "whole", "sessions", "lost"}}
		for _, vms := range fleetSizes {
			f, err := runFleetInTempDir(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Duration: 10 * time.Second, SyncDelay: fleetSyncDelay, StopLeader: true, Seed: 1,
			})
			if err != nil {
				return err
			}
			g, err := runFleetInTempDir(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Duration: 16 * time.Second, SyncDelay: fleetSyncDelay, StopVMShare: fleetStoppedShare, Seed: 1,
			})
			if err != nil {
				return err
			}
			f.VMLossDetected = g.VMLossDetected
			table = append(table, f.row())
		}
		for _, row := range table {
			for _, cell := range row {
				fmt.Fprintf(w, "%10s", cell)
			}
			fmt.Fprintln(w)
		}
		return writeCSV(csvFile, table)
	}
}

// runFleetInTempDir runs a fleet in a temporary folder.
func runFleetInTempDir(cfg FleetConfig) (f FleetResult, err error) {
	cfg.Dir, err = os.MkdirTemp("", "fleet")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(cfg.Dir)
	return RunFleet(context.Background(), cfg)
}

// row returns the row of the table, with times in ms.
func (r *FleetResult) row() []string {
	cell := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	row := []string{strconv.Itoa(r.VMs), strconv.Itoa(r.Jobs)}
	for _, list := range [][]time.Duration{r.FirstStarts, r.NextStepStarts, r.AnswerTimes} {
		row = append(row, cell(quantile(list, 0.5)), cell(quantile(list, 0.95)))
	}
	return append(row, cell(r.LeaderElected), cell(r.FirstRunStarted), cell(r.AllLeased), strconv.Itoa(r.Sessions), cell(r.VMLossDetected))
}

func writeCSV(name string, table [][]string) (err error) {
	if name == "" {
		return nil
	}
	defer errs.Annotate(&err, "write %s", name)
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(file).WriteAll(table), file.Close())
}
