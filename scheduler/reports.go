package scheduler

import (
	"context"

	"rudderfork.example/rudderfork/wire"
)

// maxReports bounds the reports of one agent that wait for their commits, above what an
// agent sends unasked.
const maxReports = 64

// reportQueue commits what an agent reportQueue, in order, beside the heartbeats of its session.
type reportQueue struct {
	queue  chan report
	commit func(ctx context.Context, r wire.EndsReport) error
}

// report is one report, or the end of those before it, which is told.
type report struct {
	ends *wire.EndsReport
	done chan struct{}
}

func newReportQueue(commit func(ctx context.Context, r wire.EndsReport) error) *reportQueue {
	return &reportQueue{queue: make(chan report, maxReports), commit: commit}
}

// Run commits reports until ctx ends or one cannot be committed.
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

// Add queues a report. One that tells that the life has left is waited for: a heartbeat
// after it is of another life, or of one that has to be registered again.
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
