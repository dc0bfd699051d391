package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/scheduler"
)

// PutQueues replaces the document of queues; an older version changes nothing.
func (c *Client) PutQueues(ctx context.Context, d queue.Document) error {
	return c.send(ctx, http.MethodPut, "/v1/queues", d)
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context) (qs []scheduler.QueueView, err error) {
	return qs, c.do(ctx, request{method: http.MethodGet, path: "/v1/queues"}, &qs)
}

// QueueVMs lists the VMs that run the queues' tasks.
func (c *Client) QueueVMs(ctx context.Context) (vms []scheduler.VMView, err error) {
	return vms, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-vms"}, &vms)
}

// QueueJobs lists the queues' jobs that are not finished.
func (c *Client) QueueJobs(ctx context.Context) (js []scheduler.JobView, err error) {
	return js, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-jobs"}, &js)
}

// QueueJob returns a job with its tasks and its story.
func (c *Client) QueueJob(ctx context.Context, id string) (j scheduler.JobView, err error) {
	return j, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-jobs/" + url.PathEscape(id)}, &j)
}

// SubmitToQueue hands in a job of steps; again with the same path changes
// nothing.
func (c *Client) SubmitToQueue(ctx context.Context, b scheduler.SubmitBody) error {
	return c.send(ctx, http.MethodPost, "/v1/queue-jobs", b)
}

// CancelInQueue cancels a job.
func (c *Client) CancelInQueue(ctx context.Context, b scheduler.JobPathBody) error {
	return c.send(ctx, http.MethodPost, "/v1/queue-jobs/cancel", b)
}

// QueueSuspects returns the tasks under which executors have crashed.
func (c *Client) QueueSuspects(ctx context.Context) (list []scheduler.SuspectView, err error) {
	return list, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-suspects"}, &list)
}

// Evacuations returns the failure domains in which nothing more is started.
func (c *Client) Evacuations(ctx context.Context) (list []scheduler.EvacuationView, err error) {
	return list, c.do(ctx, request{method: http.MethodGet, path: evacuationsPath}, &list)
}

// Evacuate orders that nothing more is started in a failure domain, or takes that back.
func (c *Client) Evacuate(ctx context.Context, domain string, end bool) error {
	method := http.MethodPut
	if end {
		method = http.MethodDelete
	}
	return c.do(ctx, request{method: method, path: evacuationsPath + "/" + url.PathEscape(domain)}, nil)
}

const evacuationsPath = "/v1/queue-evacuations"

// ClearSuspect takes back what a task, named as job.time.step.index, is suspected of.
func (c *Client) ClearSuspect(ctx context.Context, task string) error {
	return c.send(ctx, http.MethodPost, "/v1/queue-clear", scheduler.TaskBody{Task: task})
}

func (c *Client) send(ctx context.Context, method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.do(ctx, request{method: method, path: path, body: data}, nil)
}
