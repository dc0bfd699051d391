package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/platform/standin"
	"rudderfork.example/rudderfork/standin/executor"
)

const (
	darkCores  = 5
	darkFaults = 2
	darkSides  = 2
	darkRuns   = 20
	darkHost   = "desk.example"
	// darkLimit bounds one run, of which most take a few seconds.
	darkLimit = time.Minute
	// darkPause is between two looks at a condition: the resolution of the figures.
	darkPause = 2 * time.Millisecond
)

// darkTimes are what one restart took.
type darkTimes struct {
	leader, answer, start time.Duration
}

// Dark prints how long a site takes to serve again after all its processes were killed
// at once, with all disks kept and with two lost, the leader's among them.
func Dark(w io.Writer, bin string) error {
	printHeading(w, "all processes of 5 core machines, 2 side machines and an entry killed at once and started again, %d times each", darkRuns)
	for _, lost := range []int{0, darkFaults} {
		var leader, answer, start []time.Duration
		for range darkRuns {
			d, err := darkRun(bin, lost)
			if err != nil {
				return err
			}
			leader, answer, start = append(leader, d.leader), append(answer, d.answer), append(start, d.start)
		}
		fmt.Fprintf(w, "%d disks lost; half within, 95 of 100 within:", lost)
		for _, x := range []struct {
			name string
			took []time.Duration
		}{{"leader", leader}, {"first answered call", answer}, {"first start of a task", start}} {
			fmt.Fprintf(w, " %s %.0f ms, %.0f ms;", x.name, ms(quantile(x.took, 0.5)), ms(quantile(x.took, 0.95)))
		}
		fmt.Fprintln(w)
	}
	return nil
}

// darkRun starts a site with a lasting task at work, and times one restart.
func darkRun(bin string, lost int) (took darkTimes, err error) {
	defer errs.Annotate(&err, "restart with %d disks lost", lost)
	bin, err = filepath.Abs(bin)
	if err != nil {
		return took, err
	}
	dir, err := os.MkdirTemp("", "rudderfork-dark-")
	if err != nil {
		return took, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), darkLimit)
	defer cancel()
	site, err := standin.NewSite(bin, dir, darkCores, darkFaults)
	if err != nil {
		return took, err
	}
	defer site.Close()
	d := &darkSite{site}
	if err := d.begin(ctx); err != nil {
		return took, err
	}
	leader := d.Leader(ctx)
	if err := d.cutPower(leader, lost); err != nil {
		return took, err
	}
	return d.restart(ctx)
}

// darkSite is a site under one measurement.
type darkSite struct{ *standin.Site }

// begin starts everything, and waits until a lasting task is at work and the group has
// its voters.
func (d *darkSite) begin(ctx context.Context) error {
	for i := range darkCores {
		if err := d.StartCore(i, true); err != nil {
			return err
		}
	}
	for range darkSides {
		room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 8000}
		if err := d.StartSide(executor.Config{Now: steady.Now, Capacity: room}); err != nil {
			return err
		}
	}
	if err := d.StartEntry(0); err != nil {
		return err
	}
	doc := standin.Document(1, "rosters", darkHost, "/rosters/", "desk")
	feed := standin.Job("", standin.JobStep{Count: 1, CPUMilli: 500, ExpectedMS: 1000, Lasting: true})
	for _, x := range []struct {
		what string
		ok   func() bool
	}{
		{"the document is taken", func() bool { return d.status(ctx, http.MethodPut, d.ControlAddr(0), "/config", doc) == http.StatusOK }},
		{"the job is accepted", func() bool {
			return d.status(ctx, http.MethodPost, d.FrontAddr(0), "/rosters/feed", feed) == http.StatusOK
		}},
		{"its task is at work", d.atWork},
		{"the group is whole", d.HasAllVoters},
		{"a control process leads", func() bool { return d.Leader(ctx) >= 0 }},
	} {
		if err := d.until(ctx, x.what, x.ok); err != nil {
			return err
		}
	}
	return nil
}

// cutPower kills everything, the executors' work with it, and empties the disks of the
// leader and of machines after it.
func (d *darkSite) cutPower(leader, lost int) error {
	if err := d.KillAll(); err != nil {
		return err
	}
	for i, e := range d.Execs {
		e.Restart(fmt.Sprintf("side-%d-life-2", i+1))
	}
	for i := range lost {
		if err := os.RemoveAll(d.DataDir((leader + i) % darkCores)); err != nil {
			return err
		}
	}
	return nil
}

// restart starts everything again and times it from the first start on.
func (d *darkSite) restart(ctx context.Context) (took darkTimes, err error) {
	began := time.Now()
	for i := range darkCores {
		if err := d.StartCore(i, false); err != nil {
			return took, err
		}
	}
	for i := range darkSides {
		if err := d.StartAgent(i); err != nil {
			return took, err
		}
	}
	if err := d.StartEntry(0); err != nil {
		return took, err
	}
	var wg sync.WaitGroup
	for _, x := range []struct {
		at *time.Duration
		ok func() bool
	}{
		{&took.leader, func() bool { return d.Leader(ctx) >= 0 }},
		{&took.answer, func() bool { return d.answers(ctx) }},
		{&took.start, d.atWork},
	} {
		wg.Go(func() {
			if d.until(ctx, "it is so", x.ok) == nil {
				*x.at = time.Since(began)
			}
		})
	}
	wg.Wait()
	return took, ctx.Err()
}

// status calls an address and returns the status, 0 without an answer.
func (d *darkSite) status(ctx context.Context, method, addr, path string, body any) int {
	status, _, err := standin.Call(ctx, method, "http://"+addr+path, darkHost, body)
	if err != nil {
		return 0
	}
	return status
}

// answers reports whether the entry tells the lasting job's state.
func (d *darkSite) answers(ctx context.Context) bool {
	_, answer, err := standin.Call(ctx, http.MethodGet, "http://"+d.FrontAddr(0)+"/rosters/feed", darkHost, nil)
	var b struct {
		State string `json:"state"`
	}
	return err == nil && json.Unmarshal(answer, &b) == nil && b.State != ""
}

func (d *darkSite) atWork() bool {
	for _, e := range d.Execs {
		if len(e.Running()) > 0 {
			return true
		}
	}
	return false
}

// until waits for a condition.
func (d *darkSite) until(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.New("it did not come to pass that " + what)
		case <-time.After(darkPause):
		}
	}
	return nil
}
