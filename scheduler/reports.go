package scheduler

import (
	"context"

	"rudderfork.example/rudderfork/wire"
)

// maxReports bounds the reports of one agent that wait for their commits. It is more than an
// agent sends without an acknowledgement.
const maxReports = 64

// reportQueue commits an agent's reports of ended runs in order, concurrently with the heartbeats
// of its session.
type reportQueue struct {
	queue  chan report
	commit func(ctx context.Context, r wire.EndsReport) error
}

// report is an entry of the queue: a report of ended runs (ends), or a marker whose channel done is
// closed once all reports before it are committed. Exactly one of the fields is set.
type report struct {
	ends *wire.EndsReport
	done chan struct{}
}

func newReportQueue(commit func(ctx context.Context, r wire.EndsReport) error) *reportQueue {
	return &reportQueue{queue: make(chan report, maxReports), commit: commit}
}

// Run commits reports until ctx ends or a commit fails, and returns the error.
func (q *reportQueue) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-q.queue:
			if r.done != nil {
				close(r.done)
			} else if err := q.commit(ctx, *r.ends); err != nil {
				return err
			}
		}
	}
}

// Add queues a report. If the report says that the incarnation gave its shutdown notice, Add
// returns only when it is committed: the next heartbeat is that of another incarnation, or of one
// that has to be registered again.
func (q *reportQueue) Add(ctx context.Context, ends wire.EndsReport) error {
	if err := q.add(ctx, report{ends: &ends}); err != nil || !ends.Departed {
		return err
	}
	return q.Wait(ctx)
}

// Wait returns once all reports that were added are committed.
func (q *reportQueue) Wait(ctx context.Context) error {
	done := make(chan struct{})
	if err := q.add(ctx, report{done: done}); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-done:
		return nil
	}
}

func (q *reportQueue) add(ctx context.Context, r report) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case q.queue <- r:
		return nil
	}
}
