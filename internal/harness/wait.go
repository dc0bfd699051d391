package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/standin"
	"rudderfork.example/rudderfork/timeline"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Until waits until cond returns nil. If ctx ends before that, the error wraps the last
// one of cond.
func Until(ctx context.Context, what string, cond func() error) error {
	for {
		err := cond()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w (%w)", what, err, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until every entry is ready and control lists the VMs of all agents as
// live.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for i := range c.opt.Entries {
		p := c.procs[procName("e", i)]
		if err := Until(ctx, p.Name+" to be ready", func() error { return getOK(ctx, "http://"+p.Admin()+"/ready") }); err != nil {
			return err
		}
	}
	return Until(ctx, "all VMs to be live", func() error {
		vms, err := c.Operator().VMs(ctx)
		if err != nil {
			return err
		}
		live := 0
		for _, v := range vms {
			if v.Live {
				live++
			}
		}
		if live < c.opt.Agents {
			return fmt.Errorf("%d of %d VMs are live", live, c.opt.Agents)
		}
		return nil
	})
}

func getOK(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// WaitInForce waits until n entries and agents have the given revision of the table, or
// a later one.
func (c *Cluster) WaitInForce(ctx context.Context, rev rudderfork.Revision, n int) error {
	return Until(ctx, "the table to be in force", func() error {
		ns, err := c.Operator().Nodes(ctx)
		if err != nil {
			return err
		}
		have := 0
		for _, o := range ns {
			if o.TableRevision >= rev {
				have++
			}
		}
		if have < n {
			return fmt.Errorf("%d of %d have revision %d", have, n, rev)
		}
		return nil
	})
}

// WaitJob waits until a job has finished with all tasks done.
func (c *Cluster) WaitJob(ctx context.Context, id rudderfork.JobID) error {
	return Until(ctx, "job "+string(id), func() error {
		j, err := c.Operator().Job(ctx, id)
		if err != nil {
			return err
		}
		if j.Done != j.Tasks {
			return fmt.Errorf("%d of %d tasks are done, %d running, %d failed", j.Done, j.Tasks, j.Running, j.Failed)
		}
		return nil
	})
}

// Timeline returns the events about a subject, merged from all running processes.
func (c *Cluster) Timeline(ctx context.Context, subject string) ([]rudderfork.Event, error) {
	op := c.Operator()
	var lists [][]rudderfork.Event
	for _, n := range c.order {
		p := c.procs[n]
		if p.Admin() == "" || !p.Running() {
			continue
		}
		es, err := op.Timeline(ctx, p.Admin(), subject, time.Time{}, 0)
		if err != nil {
			return nil, err
		}
		lists = append(lists, es)
	}
	return timeline.Merge(lists...), nil
}

// readAudit calls f with each line of an audit file, if the file exists. It skips a last
// line without a line end, which is still being written.
func readAudit[T any](path string, f func(T)) error {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		if !complete {
			return nil
		}
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		f(v)
		data = rest
	}
}

// RequestStarts returns the records of started requests from all upstreams' audits.
func (c *Cluster) RequestStarts() (rs []standin.RequestRecord, err error) {
	for i := range c.opt.Agents {
		err := readAudit(c.Audit(procName("u", i)), func(r standin.RequestRecord) {
			if !r.Ended {
				rs = append(rs, r)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// HoldCounts returns how often each seat was held, over all upstreams. RunLoad uses a
// separate seat for each request.
func (c *Cluster) HoldCounts() (map[string]int, error) {
	rs, err := c.RequestStarts()
	runs := map[string]int{}
	for _, r := range rs {
		if u, perr := url.Parse(r.Path); perr == nil && u.Path == "/hold" {
			runs[u.Query().Get("seat")]++
		}
	}
	return runs, err
}

// TaskRecords returns the lines of all workers' audits.
func (c *Cluster) TaskRecords() (us []standin.TaskRecord, err error) {
	for i := range c.opt.Agents {
		err := readAudit(c.Audit(procName("w", i)), func(u standin.TaskRecord) { us = append(us, u) })
		if err != nil {
			return nil, err
		}
	}
	return us, nil
}

// StopAll shuts down entries, agents and controls gracefully, in this order, and checks
// that each exits with code 0.
func (c *Cluster) StopAll(ctx context.Context) error {
	for _, kind := range []byte{'e', 'a', 'c'} {
		var ps []*Proc
		for _, n := range c.order {
			if p := c.procs[n]; n[0] == kind && p.Running() {
				p.Term()
				ps = append(ps, p)
			}
		}
		for _, p := range ps {
			err := Until(ctx, p.Name+" to stop", func() error {
				if p.Running() {
					return errors.New("it still runs")
				}
				return nil
			})
			if err != nil {
				return err
			}
			if p.Code() != 0 {
				return fmt.Errorf("%s stopped with code %d", p.Name, p.Code())
			}
		}
	}
	return nil
}
