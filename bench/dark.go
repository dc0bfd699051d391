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
	restartCores  = 5 // core machines, which run control processes
	restartFaults = 2 // core machines that the site must be able to lose
	restartSides  = 2 // side machines, each with an agent and an executor
	restartRuns   = 20
	restartHost   = "desk.example"
	// restartTimeout bounds one run; most take a few seconds.
	restartTimeout = time.Minute
	// restartPollInterval is the time between two checks of a condition, and thereby the
	// resolution of the figures.
	restartPollInterval = 2 * time.Millisecond
)

// restartTimes are the times from the start of the first process until a control process
// led, until the entry answered a call, and until a task was running.
type restartTimes struct {
	leader, answer, start time.Duration
}

// ColdRestart prints how long a site takes to serve again after all its processes were
// killed at once: with all disks intact, and with two lost, the leader's among them.
func ColdRestart(w io.Writer, bin string) error {
	printHeading(w, "all processes of 5 core machines, 2 side machines and an entry killed at once and started again, %d times each", restartRuns)
	for _, lost := range []int{0, restartFaults} {
		var leader, answer, start []time.Duration
		for range restartRuns {
			d, err := measureRestart(bin, lost)
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

// measureRestart starts a site, waits until a lasting task is running, and times one restart.
func measureRestart(bin string, lost int) (took restartTimes, err error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	site, err := standin.NewSite(bin, dir, restartCores, restartFaults)
	if err != nil {
		return took, err
	}
	defer site.Close()
	s := &restartSite{site}
	if err := s.startAll(ctx); err != nil {
		return took, err
	}
	leader := s.Leader(ctx)
	if err := s.killAndWipe(leader, lost); err != nil {
		return took, err
	}
	return s.restart(ctx)
}

// restartSite is the site of one measurement.
type restartSite struct{ *standin.Site }

// startAll starts all processes, and waits until a lasting task is running and the quorum
// has all its voters.
func (s *restartSite) startAll(ctx context.Context) error {
	for i := range restartCores {
		if err := s.StartCore(i, true); err != nil {
			return err
		}
	}
	for range restartSides {
		capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 8000}
		if err := s.StartSide(executor.Config{Now: steady.Now, Capacity: capacity}); err != nil {
			return err
		}
	}
	if err := s.StartEntry(0); err != nil {
		return err
	}
	doc := standin.Document(1, "rosters", restartHost, "/rosters/", "desk")
	feed := standin.Job("", standin.JobStep{Count: 1, CPUMilli: 500, ExpectedMS: 1000, Lasting: true})
	for _, x := range []struct {
		what string
		ok   func() bool
	}{
		{"the document is accepted", func() bool { return s.status(ctx, http.MethodPut, s.ControlAddr(0), "/config", doc) == http.StatusOK }},
		{"the job is accepted", func() bool {
			return s.status(ctx, http.MethodPost, s.FrontAddr(0), "/rosters/feed", feed) == http.StatusOK
		}},
		{"the task of the job is running", s.taskRunning},
		{"the quorum has all voters", s.HasAllVoters},
		{"a control process leads", func() bool { return s.Leader(ctx) >= 0 }},
	} {
		if err := s.waitUntil(ctx, x.what, x.ok); err != nil {
			return err
		}
	}
	return nil
}

// killAndWipe kills all processes, which ends the executors' runs, and deletes the data of
// as many core machines as lost says, beginning with the leader's.
func (s *restartSite) killAndWipe(leader, lost int) error {
	if err := s.KillAll(); err != nil {
		return err
	}
	for i, e := range s.Execs {
		e.Restart(fmt.Sprintf("side-%d-life-2", i+1))
	}
	for i := range lost {
		if err := os.RemoveAll(s.DataDir((leader + i) % restartCores)); err != nil {
			return err
		}
	}
	return nil
}

// restart starts all processes again, and measures from the start of the first.
func (s *restartSite) restart(ctx context.Context) (took restartTimes, err error) {
	start := time.Now()
	for i := range restartCores {
		if err := s.StartCore(i, false); err != nil {
			return took, err
		}
	}
	for i := range restartSides {
		if err := s.StartAgent(i); err != nil {
			return took, err
		}
	}
	if err := s.StartEntry(0); err != nil {
		return took, err
	}
	var wg sync.WaitGroup
	for _, x := range []struct {
		at *time.Duration
		ok func() bool
	}{
		{&took.leader, func() bool { return s.Leader(ctx) >= 0 }},
		{&took.answer, func() bool { return s.answersState(ctx) }},
		{&took.start, s.taskRunning},
	} {
		wg.Go(func() {
			if s.waitUntil(ctx, "the site has recovered", x.ok) == nil {
				*x.at = time.Since(start)
			}
		})
	}
	wg.Wait()
	return took, ctx.Err()
}

// status sends a request to an address and returns the HTTP status, 0 without an answer.
func (s *restartSite) status(ctx context.Context, method, addr, path string, body any) int {
	status, _, err := standin.Call(ctx, method, "http://"+addr+path, restartHost, body)
	if err != nil {
		return 0
	}
	return status
}

// answersState reports whether the entry answers with the lasting job's state.
func (s *restartSite) answersState(ctx context.Context) bool {
	_, answer, err := standin.Call(ctx, http.MethodGet, "http://"+s.FrontAddr(0)+"/rosters/feed", restartHost, nil)
	var b struct {
		State string `json:"state"`
	}
	return err == nil && json.Unmarshal(answer, &b) == nil && b.State != ""
}

// taskRunning reports whether any executor has an active run.
func (s *restartSite) taskRunning() bool {
	for _, e := range s.Execs {
		if len(e.Running()) > 0 {
			return true
		}
	}
	return false
}

// waitUntil polls ok until it holds or ctx ends. what completes the error message.
func (s *restartSite) waitUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting until " + what)
		case <-time.After(restartPollInterval):
		}
	}
	return nil
}
