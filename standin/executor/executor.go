// Package executor is a test double of the executor that runs the queues' tasks
// on a VM. It follows the contract of rudderfork.Executor and simulates its
// faults: a monotonic clock that runs slow, leases that expire, requests that
// are lost or carried out late, responses that are lost, and tasks that fail or
// hang.
//
// The payload of a task says how it behaves, in words separated by spaces:
// "work=500ms" is its work time at full speed, "fail" makes it fail after that
// time, and "hang" makes it run until it is stopped or the lease expires. A task
// without a work time behaves like one with "hang".
package executor

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
)

// ErrNoAnswer is returned by a call to which no response arrives.
var ErrNoAnswer = errors.New("no answer")

// pollInterval is the time between two checks for ended runs while a poll waits.
const pollInterval = 5 * time.Millisecond

// Delivery says whether a call to the executor is carried out, and whether its response
// arrives.
type Delivery int

// The deliveries of a call.
const (
	Answered        Delivery = iota // it is carried out and answered
	RequestLost                     // it is not carried out; the caller gets ErrNoAnswer
	ResponseLost                    // it is carried out; the caller gets ErrNoAnswer
	Delayed                         // the caller gets ErrNoAnswer; it is carried out after Config.Delay or by Flush
	RejectedAsStale                 // it is not carried out; the caller gets rudderfork.ErrStaleIncarnation
)

// Executor is the executor of one VM. It is safe for concurrent use.
type Executor struct {
	now       func() time.Time
	clockRate float64

	mu           sync.Mutex
	startedAt    time.Time // of the current incarnation, by now
	id           string    // of the current incarnation
	startMS      int64     // start time in the incarnation's name; 0 if the name has none
	leaseEndMS   int64     // by the executor's clock
	fence        uint64    // highest fencing token received by the incarnation
	capacity     rudderfork.Resources
	used         rudderfork.Resources // by the runs in progress
	running      map[rudderfork.TaskID]*run
	barred       map[rudderfork.TaskID]uint32 // highest run number that was stopped or has ended; it can't start again
	ended        []rudderfork.EndedRun
	seq          uint64 // number of the last ended run
	acked        uint64 // ended runs up to this number are acknowledged and no longer listed, also those that end later
	delivery     func(call string) Delivery
	delay        func(call string) time.Duration
	stopTime     time.Duration
	forgetsStops bool // Config.ForgetsStops
	delayed      []delayedCall
	sizes        func(payload string) rudderfork.Resources
	behave       func(ref rudderfork.RunRef, payload string) string
	onStart      func(rudderfork.RunRef)
	onFinish     func(rudderfork.RunRef, string)
}

// delayedCall is a call that is carried out later.
type delayedCall struct {
	at time.Time // when it is carried out; zero means only by Flush
	do func()
}

// run is a run in progress.
type run struct {
	ref      rudderfork.RunRef
	size     rudderfork.Resources
	workMS   int64
	fails    bool
	hangs    bool
	percent  int       // speed set by Pace, in percent of full speed
	workedMS float64   // work done, in ms at full speed
	workedAt int64     // when workedMS was updated, by the executor's clock
	stopAt   time.Time // when it ends after a stop; zero if it was not stopped
}

// Config configures an Executor. Only Now and Capacity are required.
type Config struct {
	Now      func() time.Time
	Capacity rudderfork.Resources
	// ClockRate is the speed of the executor's clock relative to Now; 0 means 1.
	// The contract allows 0.98.
	ClockRate float64
	// Sizes returns the resources that a task takes, by its payload; nil means none.
	Sizes func(payload string) rudderfork.Resources
	// Behave returns the words that define how a run behaves; nil means its payload.
	Behave func(ref rudderfork.RunRef, payload string) string
	// Delivery decides how each call is delivered; nil means that all are answered.
	// The names of the calls are "start", "stop", "pace" and "look" (a poll).
	Delivery func(call string) Delivery
	// Delay returns the delay of a call delivered as Delayed; nil means until Flush.
	Delay func(call string) time.Duration
	// StopTime is how long a run keeps running after it is stopped.
	StopTime time.Duration
	// ForgetsStops breaks the contract: a stop of a run that isn't there is not
	// recorded, so that a delayed start of this run still starts it.
	ForgetsStops bool
	// OnStart and OnFinish are called at the start and the end of each run, with
	// the executor's lock held. OnFinish gets "done", "failed", "stopped", "lapsed"
	// (the lease expired) or "crashed" (the incarnation ended).
	OnStart  func(rudderfork.RunRef)
	OnFinish func(r rudderfork.RunRef, outcome string)
}

// New returns an executor whose first incarnation has the given name, in the
// format of rudderfork.IncarnationName.
func New(inc string, cfg Config) *Executor {
	e := &Executor{
		now: cfg.Now, clockRate: cfg.ClockRate, capacity: cfg.Capacity, delivery: cfg.Delivery, delay: cfg.Delay, stopTime: cfg.StopTime,
		forgetsStops: cfg.ForgetsStops, sizes: cfg.Sizes, behave: cfg.Behave, onStart: cfg.OnStart, onFinish: cfg.OnFinish,
	}
	if e.clockRate == 0 {
		e.clockRate = 1
	}
	if e.delivery == nil {
		e.delivery = func(string) Delivery { return Answered }
	}
	if e.behave == nil {
		e.behave = func(_ rudderfork.RunRef, payload string) string { return payload }
	}
	if e.sizes == nil {
		e.sizes = func(string) rudderfork.Resources { return rudderfork.Resources{} }
	}
	e.Restart(inc)
	return e
}

// Restart ends the current incarnation as a crash does, and starts the given one. The
// new one has no runs, no fencing token and no delayed calls.
func (e *Executor) Restart(inc string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		e.notifyFinish(r.ref, "crashed")
	}
	e.id, e.startMS = rudderfork.SplitIncarnation(inc)
	e.startedAt = e.now()
	e.leaseEndMS, e.fence, e.seq, e.acked = 0, 0, 0, 0
	e.used = rudderfork.Resources{}
	e.running, e.barred, e.ended = map[rudderfork.TaskID]*run{}, map[rudderfork.TaskID]uint32{}, nil
	e.delayed = nil
}

// RestartSameID starts a new incarnation with the same id and a later start time. It
// panics if the current name has no start time: callers could not tell the two apart.
func (e *Executor) RestartSameID() {
	id, start := rudderfork.SplitIncarnation(e.Incarnation())
	if start == 0 {
		panic("restart with the same id needs an incarnation name with a start time")
	}
	e.Restart(rudderfork.IncarnationName(id, start+1))
}

// Incarnation returns the name of the current incarnation.
func (e *Executor) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rudderfork.IncarnationName(e.id, e.startMS)
}

// isCurrent reports whether inc names the current incarnation. A name without a start
// time matches every incarnation with this id. The caller holds mu.
func (e *Executor) isCurrent(inc string) bool {
	id, start := rudderfork.SplitIncarnation(inc)
	return id == e.id && (start == 0 || start == e.startMS)
}

// Capacity returns the resources that the runs share.
func (e *Executor) Capacity() rudderfork.Resources { return e.capacity }

// SetDelivery replaces Config.Delivery.
func (e *Executor) SetDelivery(f func(call string) Delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delivery = f
}

// Flush carries out all delayed calls, the newest first.
func (e *Executor) Flush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	delayed := e.delayed
	e.delayed = nil
	for i := len(delayed) - 1; i >= 0; i-- {
		delayed[i].do()
	}
}

// doDelayed carries out the calls whose delay is over. No timer runs for them: each
// other call does it first. The caller holds mu.
func (e *Executor) doDelayed() {
	now := e.now()
	var due []delayedCall
	e.delayed = slices.DeleteFunc(e.delayed, func(c delayedCall) bool {
		ready := !c.at.IsZero() && !now.Before(c.at)
		if ready {
			due = append(due, c)
		}
		return ready
	})
	for _, c := range due {
		c.do()
	}
}

// Running returns the runs in progress.
func (e *Executor) Running() (refs []rudderfork.RunRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doDelayed()
	e.advance()
	for _, r := range e.running {
		refs = append(refs, r.ref)
	}
	return refs
}

// ClockMS returns the time since the start of the incarnation by the executor's
// monotonic clock, in ms.
func (e *Executor) ClockMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}

// clock is ClockMS for a caller that holds mu.
func (e *Executor) clock() int64 {
	return int64(float64(e.now().Sub(e.startedAt).Milliseconds())*e.clockRate) + 1
}

// advance updates the work done by each run and ends the runs that are due to end: by
// the lease, a stop, or their work time. The caller holds mu.
func (e *Executor) advance() {
	now := e.clock()
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		r := e.running[id]
		r.workedMS += float64(now-r.workedAt) * float64(r.percent) / 100
		r.workedAt = now
		switch {
		case now >= e.leaseEndMS:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if !e.now().Before(r.stopAt) {
				e.end(r, "stopped")
			}
		case r.hangs || r.workMS == 0 || r.workedMS < float64(r.workMS):
		case r.fails:
			e.end(r, "failed")
		default:
			e.end(r, "done")
		}
	}
}

// end removes a run and lists it as ended. The caller holds mu.
func (e *Executor) end(r *run, outcome string) {
	delete(e.running, r.ref.Task)
	e.used = e.used.Sub(r.size)
	e.barred[r.ref.Task] = max(e.barred[r.ref.Task], r.ref.Run)
	e.seq++
	if e.seq > e.acked {
		e.ended = append(e.ended, rudderfork.EndedRun{Seq: e.seq, RunRef: r.ref, Outcome: outcome})
	}
	e.notifyFinish(r.ref, outcome)
}

func (e *Executor) notifyFinish(ref rudderfork.RunRef, outcome string) {
	if e.onFinish != nil {
		e.onFinish(ref, outcome)
	}
}

// call delivers a call to the given incarnation as Config.Delivery says. do carries it out
// with mu held.
func (e *Executor) call(name, inc string, do func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doDelayed()
	e.advance()
	if !e.isCurrent(inc) {
		return rudderfork.ErrStaleIncarnation
	}
	switch e.delivery(name) {
	case RequestLost:
		return ErrNoAnswer
	case ResponseLost:
		do()
		return ErrNoAnswer
	case Delayed:
		c := delayedCall{do: func() {
			e.advance()
			if e.isCurrent(inc) {
				do()
			}
		}}
		if e.delay != nil {
			c.at = e.now().Add(e.delay(name))
		}
		e.delayed = append(e.delayed, c)
		return ErrNoAnswer
	case RejectedAsStale:
		return rudderfork.ErrStaleIncarnation
	case Answered:
	}
	do()
	return nil
}

// Start implements rudderfork.Executor.
func (e *Executor) Start(_ context.Context, inc string, s rudderfork.RunStart) (rudderfork.StartOutcome, error) {
	var out rudderfork.StartOutcome // not read after an error: a delayed call may write to it later
	if err := e.call("start", inc, func() { out = e.start(s) }); err != nil {
		return 0, err
	}
	return out, nil
}

func (e *Executor) start(s rudderfork.RunStart) rudderfork.StartOutcome {
	if s.Fence < e.fence {
		return rudderfork.StartFenced
	}
	e.fence = s.Fence
	if r := e.running[s.Task]; r != nil && r.ref == s.RunRef {
		e.leaseEndMS = max(e.leaseEndMS, s.UntilMS)
		return rudderfork.Started
	}
	now := e.clock()
	switch {
	case e.running[s.Task] != nil || s.Run <= e.barred[s.Task]:
		e.leaseEndMS = max(e.leaseEndMS, s.UntilMS)
		return rudderfork.StartEnded
	case s.UntilMS <= now:
		return rudderfork.StartExpired
	}
	e.leaseEndMS = max(e.leaseEndMS, s.UntilMS)
	size := e.sizes(s.Payload)
	if !e.used.Add(size).Fits(e.capacity) {
		return rudderfork.StartNoCapacity
	}
	r := &run{ref: s.RunRef, size: size, workedAt: now, percent: 100}
	r.parse(e.behave(s.RunRef, s.Payload))
	e.running[s.Task] = r
	e.used = e.used.Add(size)
	if e.onStart != nil {
		e.onStart(s.RunRef)
	}
	return rudderfork.Started
}

// parse sets how a run behaves from the words of its payload.
func (r *run) parse(payload string) {
	for word := range strings.FieldsSeq(payload) {
		key, val, _ := strings.Cut(word, "=")
		switch key {
		case "work":
			if d, err := time.ParseDuration(val); err == nil {
				r.workMS = d.Milliseconds()
			}
		case "fail":
			r.fails = true
		case "hang":
			r.hangs = true
		}
	}
}

// Stop implements rudderfork.Executor.
func (e *Executor) Stop(_ context.Context, inc string, ref rudderfork.RunRef, fence uint64) error {
	return e.call("stop", inc, func() {
		if fence < e.fence {
			return
		}
		e.fence = fence
		if r := e.running[ref.Task]; r != nil && r.ref.Run <= ref.Run {
			e.stop(r)
		} else if e.forgetsStops {
			return
		}
		e.barred[ref.Task] = max(e.barred[ref.Task], ref.Run)
	})
}

// stop ends a run, after stopTime if there is one. The caller holds mu.
func (e *Executor) stop(r *run) {
	if e.stopTime == 0 {
		e.end(r, "stopped")
	} else if r.stopAt.IsZero() {
		r.stopAt = e.now().Add(e.stopTime)
	}
}

// Pace implements rudderfork.Executor.
func (e *Executor) Pace(_ context.Context, inc string, ref rudderfork.RunRef, percent int, fence uint64) error {
	return e.call("pace", inc, func() {
		if r := e.running[ref.Task]; r != nil && r.ref == ref && fence >= e.fence {
			r.percent = percent
		}
	})
}

// Poll implements rudderfork.Executor.
func (e *Executor) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (status rudderfork.ExecutorStatus, err error) {
	deadline := e.now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	var polled string // the incarnation that received the poll
	err = e.call("look", inc, func() {
		polled = rudderfork.IncarnationName(e.id, e.startMS)
		e.renew(req)
	})
	for err == nil {
		if status, err = e.status(polled); err != nil {
			return status, err
		}
		if len(status.Ended) > 0 || !e.now().Before(deadline) {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return status, err
}

// renew extends the lease and drops the ended runs that are acknowledged. A poll with an
// older fencing token does neither. The caller holds mu.
func (e *Executor) renew(req rudderfork.PollRequest) {
	if req.Fence < e.fence {
		return
	}
	e.fence = req.Fence
	e.leaseEndMS = max(e.leaseEndMS, req.UntilMS)
	e.acked = max(e.acked, req.AckedUpTo)
	for len(e.ended) > 0 && e.ended[0].Seq <= e.acked {
		e.ended = e.ended[1:]
	}
}

// status returns the executor status of the polled incarnation, or ErrNoAnswer if that
// one has ended.
func (e *Executor) status(polled string) (status rudderfork.ExecutorStatus, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if polled != rudderfork.IncarnationName(e.id, e.startMS) {
		return status, ErrNoAnswer
	}
	e.doDelayed()
	e.advance()
	status.ClockMS = e.clock()
	status.Ended = append(status.Ended, e.ended...)
	for _, r := range e.running {
		rs := rudderfork.RunStatus{RunRef: r.ref, Percent: 100}
		if r.workMS > 0 {
			rs.Percent = int(100 * r.workedMS / float64(r.workMS))
		}
		status.Running = append(status.Running, rs)
	}
	return status, nil
}
