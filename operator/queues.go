package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/scheduler"
)

// PutQueues replaces the document that configures the queues. A document of an older
// version has no effect.
func (c *Client) PutQueues(ctx context.Context, d queue.Document) error {
	return c.send(ctx, http.MethodPut, "/v1/queues", d)
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context) (queues []scheduler.QueueView, err error) {
	return queues, c.do(ctx, request{method: http.MethodGet, path: "/v1/queues"}, &queues)
}

// QueueVMs lists the VMs that run tasks of queues.
func (c *Client) QueueVMs(ctx context.Context) (vms []scheduler.VMView, err error) {
	return vms, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-vms"}, &vms)
}

// QueueShares lists the groups of callers that share the queues' capacity. It is empty if
// they do not share it.
func (c *Client) QueueShares(ctx context.Context) (groups []fairshare.Status, err error) {
	return groups, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-shares"}, &groups)
}

// QueueJobs lists the unfinished jobs of queues.
func (c *Client) QueueJobs(ctx context.Context) (jobs []scheduler.JobView, err error) {
	return jobs, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-jobs"}, &jobs)
}

// QueueJob returns a job with its tasks and events.
func (c *Client) QueueJob(ctx context.Context, id string) (j scheduler.JobView, err error) {
	return j, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-jobs/" + url.PathEscape(id)}, &j)
}

// SubmitToQueue submits a job of steps. Submitting it again with the same path has no
// effect.
func (c *Client) SubmitToQueue(ctx context.Context, b scheduler.SubmitBody) error {
	return c.send(ctx, http.MethodPost, "/v1/queue-jobs", b)
}

// CancelInQueue cancels a job of a queue.
func (c *Client) CancelInQueue(ctx context.Context, b scheduler.JobPathBody) error {
	return c.send(ctx, http.MethodPost, "/v1/queue-jobs/cancel", b)
}

// QueueSuspects returns the tasks under which executors have crashed.
func (c *Client) QueueSuspects(ctx context.Context) (list []scheduler.SuspectView, err error) {
	return list, c.do(ctx, request{method: http.MethodGet, path: "/v1/queue-suspects"}, &list)
}

// Evacuations returns the failure domains that are being evacuated. No task is started
// in them.
func (c *Client) Evacuations(ctx context.Context) (list []scheduler.EvacuationView, err error) {
	return list, c.do(ctx, request{method: http.MethodGet, path: evacuationsPath}, &list)
}

// Evacuate starts the evacuation of a failure domain, or ends it if end is true. Until it
// ends, no task is started in the domain.
func (c *Client) Evacuate(ctx context.Context, domain string, end bool) error {
	method := http.MethodPut
	if end {
		method = http.MethodDelete
	}
	return c.do(ctx, request{method: method, path: evacuationsPath + "/" + url.PathEscape(domain)}, nil)
}

const evacuationsPath = "/v1/queue-evacuations"

// ClearSuspect clears the suspicion against a task, named as job.time.step.index.
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
