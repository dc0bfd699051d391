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

// fleetSizes are those that Fleet plays.
var fleetSizes = []int{100, 300, 1_000}

// Fleet returns a section that plays a leader with fleets of some sizes, and writes the
// figures to a CSV file too unless its name is empty.
func Fleet(csvFile string) func(w io.Writer) error {
	return func(w io.Writer) (err error) {
		printHeading(w, "a leader with a fleet on loopback, %v a sync; in the middle the leader is lost, in a second play %.0f%% of the VMs (ms)", fleetSync, 100*fleetLost)
		table := [][]string{{"VMs", "jobs", "first p50", "p95", "next p50", "p95", "answer p50", "p95", "led", "started", "whole", "sessions", "lost"}}
		for _, vms := range fleetSizes {
			f, err := playFleetIn(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Span: 10 * time.Second, Sync: fleetSync, LoseLeader: true, Seed: 1,
			})
			if err != nil {
				return err
			}
			g, err := playFleetIn(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Span: 16 * time.Second, Sync: fleetSync, LoseVMs: fleetLost, Seed: 1,
			})
			if err != nil {
				return err
			}
			f.Lost = g.Lost
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

// playFleetIn plays in a folder of its own.
func playFleetIn(cfg FleetConfig) (f FleetFigures, err error) {
	cfg.Dir, err = os.MkdirTemp("", "fleet")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(cfg.Dir)
	return PlayFleet(context.Background(), cfg)
}

// row returns the figures as cells, times in ms.
func (f *FleetFigures) row() []string {
	cell := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	row := []string{strconv.Itoa(f.VMs), strconv.Itoa(f.Jobs)}
	for _, list := range [][]time.Duration{f.FirstStart, f.NextStart, f.Answers} {
		row = append(row, cell(quantile(list, 0.5)), cell(quantile(list, 0.95)))
	}
	return append(row, cell(f.Led), cell(f.Started), cell(f.Whole), strconv.Itoa(f.Opened), cell(f.Lost))
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
