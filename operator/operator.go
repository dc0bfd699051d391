// Package operator is a client of the operators' API, for rudderctl and for tests.
//
// It tries the control processes in turn until one answers as the leader. Each
// change carries an id or can be repeated, so that it is safe to send it again when
// an answer is lost.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/control"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
)

const (
	// callTimeout bounds one call to one control process.
	callTimeout = 5 * time.Second
	// retryDelay is the delay before all control processes are tried again.
	retryDelay = 100 * time.Millisecond
	// maxAnswerBytes bounds the part of an answer that is read.
	maxAnswerBytes = 64 << 20
)

// Client calls the operators' API. It is safe for concurrent use.
type Client struct {
	addrs []string
	hc    *http.Client
}

// New returns a client of the control processes at addrs.
func New(addrs []string) *Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{addrs: addrs, hc: &http.Client{Timeout: callTimeout, CheckRedirect: noRedirect}}
}

// request is a call of the API. It may be sent several times.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// do sends q until a leader answers it or ctx is cancelled. If the outcome of a request
// is unknown, it is sent again: all changes carry an id or can be repeated.
func (c *Client) do(ctx context.Context, q request, out any) (err error) {
	defer errs.Annotate(&err, "%s %s", q.method, q.path)
	for {
		for _, addr := range c.addrs {
			var retry bool
			retry, err = c.try(ctx, addr, q, out)
			if !retry {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

// try sends q to one process. retry is true if q should be sent again, to another
// process if there is one.
func (c *Client) try(ctx context.Context, addr string, q request, out any) (retry bool, err error) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+addr+q.path, bytes.NewReader(q.body))
	if err != nil {
		return false, err
	}
	for k, vs := range q.header {
		req.Header[k] = vs
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		relay.CloseIdleAfter(c.hc, err)
		return true, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		relay.CloseIdleAfter(c.hc, err)
		return true, err
	}
	switch {
	case resp.StatusCode == http.StatusTemporaryRedirect:
		return true, errors.New("the process redirects to another leader")
	case resp.StatusCode >= http.StatusBadRequest:
		return resp.StatusCode >= http.StatusInternalServerError, readProblem(resp.Status, data)
	case out == nil:
		return false, nil
	}
	return false, json.Unmarshal(data, out)
}

func readProblem(status string, data []byte) error {
	p := &rudderfork.Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Status == 0 {
		return fmt.Errorf("%s: %s", status, strings.TrimSpace(string(data)))
	}
	return p
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path}, out)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.do(ctx, request{method: http.MethodPost, path: path, body: body}, out)
}

func cellPath(k rudderfork.CellKey) string {
	return "/v1/cells/" + url.PathEscape(string(k.Kind)) + "/" + url.PathEscape(k.Row) + "/" + url.PathEscape(k.Column)
}

// Cell reads a cell.
func (c *Client) Cell(ctx context.Context, k rudderfork.CellKey) (cell rudderfork.Cell, err error) {
	err = c.get(ctx, cellPath(k), &cell)
	return cell, err
}

// Cells lists the cells of rows of a kind, or of all kinds if kind is empty.
func (c *Client) Cells(ctx context.Context, kind rudderfork.RowKind) (cells []rudderfork.Cell, err error) {
	err = c.get(ctx, "/v1/cells?kind="+url.QueryEscape(string(kind)), &cells)
	return cells, err
}

// NewID returns a random id for an edit.
func NewID() string { return rand.Text() }

// Set sets a cell if its revision is still ifRev. A retry of the same change must
// have the same id.
func (c *Client) Set(ctx context.Context, k rudderfork.CellKey, value int64, ifRev rudderfork.Revision, id string) (res state.Result, err error) {
	body, err := json.Marshal(map[string]int64{"value": value})
	if err != nil {
		return res, err
	}
	err = c.do(ctx, request{http.MethodPut, cellPath(k), editHeader(ifRev, id), body}, &res)
	return res, err
}

// Unset removes a cell, so that its default applies, if its revision is still
// ifRev.
func (c *Client) Unset(ctx context.Context, k rudderfork.CellKey, ifRev rudderfork.Revision, id string) (res state.Result, err error) {
	err = c.do(ctx, request{http.MethodDelete, cellPath(k), editHeader(ifRev, id), nil}, &res)
	return res, err
}

func editHeader(ifRev rudderfork.Revision, id string) http.Header {
	h := http.Header{}
	h.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(ifRev), 10)))
	h.Set("Idempotency-Key", strconv.Quote(id))
	return h
}

// Edit changes several cells atomically.
func (c *Client) Edit(ctx context.Context, e state.Edit) (res state.Result, err error) {
	err = c.post(ctx, "/v1/edits", e, &res)
	return res, err
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, spec rudderfork.JobSpec) (res state.Result, err error) {
	err = c.post(ctx, "/v1/jobs", spec, &res)
	return res, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id rudderfork.JobID) error {
	return c.post(ctx, "/v1/jobs/"+url.PathEscape(string(id))+"/cancel", struct{}{}, nil)
}

// Jobs lists the jobs.
func (c *Client) Jobs(ctx context.Context) (jobs []control.JobView, err error) {
	err = c.get(ctx, "/v1/jobs", &jobs)
	return jobs, err
}

// JobDetail is a job with its tasks.
type JobDetail struct {
	control.JobView
	TaskList []control.TaskView `json:"task_list"`
}

// Job reads a job with its tasks.
func (c *Client) Job(ctx context.Context, id rudderfork.JobID) (j JobDetail, err error) {
	err = c.get(ctx, "/v1/jobs/"+url.PathEscape(string(id)), &j)
	return j, err
}

// VMs lists the VMs.
func (c *Client) VMs(ctx context.Context) (vms []control.VMView, err error) {
	err = c.get(ctx, "/v1/vms", &vms)
	return vms, err
}

// Drain starts the drain of a VM, or ends it if off is true.
func (c *Client) Drain(ctx context.Context, vm rudderfork.VMID, off bool) error {
	return c.post(ctx, "/v1/vms/"+url.PathEscape(string(vm))+"/drain", map[string]bool{"off": off}, nil)
}

// Nodes lists entries and agents with the table revision that each has applied.
func (c *Client) Nodes(ctx context.Context) (nodes []control.Node, err error) {
	err = c.get(ctx, "/v1/nodes", &nodes)
	return nodes, err
}

// Explain returns the reasons for the decisions about a task, job or VM.
func (c *Client) Explain(ctx context.Context, subject string) (e control.Explanation, err error) {
	err = c.get(ctx, "/v1/explain?subject="+url.QueryEscape(subject), &e)
	return e, err
}

// Status reads the replication status of one control process.
func (c *Client) Status(ctx context.Context, addr string) (st replica.Status, err error) {
	_, err = c.try(ctx, addr, request{method: http.MethodGet, path: "/v1/status"}, &st)
	return st, err
}

// Addrs returns the addresses of the control processes.
func (c *Client) Addrs() []string { return c.addrs }

// Timeline reads the events of the process with the given admin address: at most
// limit events that are later than after and whose subject contains subject.
func (c *Client) Timeline(ctx context.Context, admin, subject string, after time.Time, limit int) (events []rudderfork.Event, err error) {
	path := fmt.Sprintf("/timeline?subject=%s&after=%d&limit=%d", url.QueryEscape(subject), after.UnixMicro(), limit)
	_, err = c.try(ctx, admin, request{method: http.MethodGet, path: path}, &events)
	return events, err
}

// ExplainRequest returns the reasons for the decisions of an entry about a request.
func (c *Client) ExplainRequest(ctx context.Context, admin, id string) (e control.Explanation, err error) {
	_, err = c.try(ctx, admin, request{method: http.MethodGet, path: "/explain?subject=" + url.QueryEscape(id)}, &e)
	return e, err
}
