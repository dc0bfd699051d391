// Package worker is a client of the platform's worker. The worker's API is JSON over
// HTTP; docs/API.md describes it.
//
//	GET  /tasks     the worker's boot id and all attempts that it has a record of
//	POST /start     start an attempt; a repetition with the same token has no effect
//	POST /renew     set the deadline at which all attempts are stopped
//	POST /stop      checkpoint and stop an attempt, and refuse its start from now on
//	POST /throttle  set the throttle level of an attempt, from 0 (full speed) to 3 (paused)
//	POST /forget    delete the record of an attempt that has ended
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/lease"
)

// callTimeout bounds one call to the worker, which is on the same VM.
const callTimeout = 2 * time.Second

// maxAnswerBytes bounds the part of an answer that is read.
const maxAnswerBytes = 16 << 20

// Task is an attempt as the worker reports it. Checkpoint (saved) and Progress (done)
// are in units of work, Throttle is the throttle level, Reason says why the attempt has
// ended, and At is the time at which Used was measured, in Unix milliseconds.
type Task struct {
	Task       rudderfork.TaskID    `json:"task"`
	Token      rudderfork.Token     `json:"token"`
	Phase      lease.WorkerPhase    `json:"phase"`
	Size       rudderfork.Resources `json:"size"`
	Used       rudderfork.Resources `json:"used"`
	Checkpoint int64                `json:"checkpoint"`
	Progress   int64                `json:"progress"`
	Throttle   int                  `json:"throttle"`
	Reason     string               `json:"reason,omitempty"`
	At         int64                `json:"at"`
}

// List is the answer to GET /tasks.
type List struct {
	Boot  string `json:"boot"`
	Tasks []Task `json:"tasks"`
}

// Start is the body of POST /start. Deadline is in Unix milliseconds.
type Start struct {
	Task       rudderfork.TaskID    `json:"task"`
	Token      rudderfork.Token     `json:"token"`
	Size       rudderfork.Resources `json:"size"`
	Kind       string               `json:"kind"`
	Units      int64                `json:"units"`
	Checkpoint int64                `json:"checkpoint"`
	Deadline   int64                `json:"deadline"`
}

// Change is the body of the other POST requests; each uses some of the fields.
// Checkpoint asks for a checkpoint before a stop, Level is a throttle level, and
// Deadline is in Unix milliseconds.
type Change struct {
	Task       rudderfork.TaskID `json:"task,omitempty"`
	Token      rudderfork.Token  `json:"token,omitempty"`
	Checkpoint bool              `json:"checkpoint,omitempty"`
	Level      int               `json:"level,omitempty"`
	Deadline   int64             `json:"deadline,omitempty"`
}

// Client calls one worker. It is safe for concurrent use.
type Client struct {
	url string
	hc  *http.Client
}

// New returns a client of the worker at addr, host:port.
func New(addr string) *Client {
	return &Client{url: "http://" + addr, hc: &http.Client{Timeout: callTimeout}}
}

// List returns the worker's boot id and its attempts.
func (c *Client) List(ctx context.Context) (boot string, tasks []lease.WorkerTask, err error) {
	defer errs.Annotate(&err, "list tasks")
	var list List
	if err := c.call(ctx, http.MethodGet, "/tasks", nil, &list); err != nil {
		return "", nil, err
	}
	for _, t := range list.Tasks {
		tasks = append(tasks, lease.WorkerTask(t))
	}
	return list.Boot, tasks, nil
}

// Start starts an attempt, which the worker stops at the deadline.
func (c *Client) Start(ctx context.Context, l rudderfork.Lease, deadline time.Time) (err error) {
	defer errs.Annotate(&err, "start %s", l.Task)
	return c.call(ctx, http.MethodPost, "/start", Start{
		Task: l.Task, Token: l.Token, Size: l.Size, Kind: l.Kind, Units: l.Units,
		Checkpoint: l.Checkpoint, Deadline: rudderfork.Millis(deadline),
	}, nil)
}

// Renew sets a new deadline for all attempts.
func (c *Client) Renew(ctx context.Context, deadline time.Time) (err error) {
	defer errs.Annotate(&err, "renew")
	return c.call(ctx, http.MethodPost, "/renew", Change{Deadline: rudderfork.Millis(deadline)}, nil)
}

// Stop stops an attempt and makes the worker refuse a later start of it.
func (c *Client) Stop(ctx context.Context, s lease.StopTask) (err error) {
	defer errs.Annotate(&err, "stop %s", s.Task)
	return c.call(ctx, http.MethodPost, "/stop", Change{Task: s.Task, Token: s.Token, Checkpoint: s.Checkpoint}, nil)
}

// Throttle sets the throttle level of an attempt.
func (c *Client) Throttle(ctx context.Context, s lease.SetThrottle) (err error) {
	defer errs.Annotate(&err, "throttle %s", s.Task)
	return c.call(ctx, http.MethodPost, "/throttle", Change{Task: s.Task, Token: s.Token, Level: s.Level}, nil)
}

// Forget deletes the worker's record of an attempt that has ended.
func (c *Client) Forget(ctx context.Context, r lease.AttemptRef) (err error) {
	defer errs.Annotate(&err, "forget %s", r.Task)
	return c.call(ctx, http.MethodPost, "/forget", Change{Task: r.Task, Token: r.Token}, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return err
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("worker answered %s: %s", resp.Status, strings.TrimSpace(string(data)))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
