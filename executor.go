package rudderfork

import (
	"context"
	"errors"
)

// RunRef identifies a run of a task.
type RunRef struct {
	Task TaskID `cbor:"1,keyasint"`
	Run  uint32 `cbor:"2,keyasint"`
}

// RunStart is what an executor needs to start a run.
type RunStart struct {
	RunRef
	Payload    string
	Checkpoint string // checkpoint to resume from; "" starts from the beginning
	Ticket     string // the adviser's permission, if the queue has an adviser
	UntilMS    int64  // end of the lease, ms on the executor's own clock
	Fence      uint64 // fencing token; an executor ignores calls with a lower token than the highest it has received
}

// StartOutcome is an executor's response to a start.
type StartOutcome int

// The outcomes. With any but Started, this call has not started the run.
const (
	Started            StartOutcome = iota // by this or an earlier call
	StartFenced                            // the executor had received a higher fencing token
	StartEnded                             // the run, or a later run of the task, has ended there
	StartExpired                           // the lease had expired
	StartNoCapacity                        // the executor has too little free capacity
	StartTicketInvalid                     // the ticket is not valid
	StartMalformed                         // the executor cannot parse the start
	StartBusy                              // the executor reports that it is overloaded or unavailable
)

// String returns the name of the outcome, as it is logged.
func (o StartOutcome) String() string {
	names := [...]string{"started", "fenced", "old", "late", "no room", "ticket", "invalid", "busy"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// RunStatus is the status of a run that its executor reports.
type RunStatus struct {
	RunRef           `cbor:"1,keyasint"`
	Checkpoint       string `cbor:"2,keyasint,omitempty"`
	Percent          int    `cbor:"3,keyasint,omitempty"` // progress of the work; 100 for a lasting task that is at work
	Load             int64  `cbor:"4,keyasint,omitempty"` // tail latency in ms for a serving task; otherwise CPU use in thousandths of a core
	PacedDownPercent int    `cbor:"5,keyasint,omitempty"` // percent by which its speed is reduced, as last requested; 0 for full speed
}

// EndedRun is a run that has ended. Its executor lists it until the entry is acknowledged.
type EndedRun struct {
	Seq uint64 // 0 if it must not be acknowledged because an earlier entry could not be parsed
	RunRef
	Outcome    string // a queue.Outcome
	Checkpoint string
}

// ExecutorStatus is the response of an executor to a poll.
type ExecutorStatus struct {
	ClockMS int64 // the executor's own clock, ms
	Running []RunStatus
	Ended   []EndedRun
	// Partial means that entries of the response could not be parsed. A run that is not listed may
	// therefore exist.
	Partial bool
}

// PollRequest requests an ExecutorStatus.
type PollRequest struct {
	UntilMS   int64  // extends the lease of all runs to this time, ms on the executor's clock; 0 for no change
	Fence     uint64 // as in RunStart
	AckedUpTo uint64 // acknowledges the ended runs up to this Seq
	WaitMS    int64  // maximum delay of the response while all ended runs are acknowledged, ms
}

// ErrStaleIncarnation means that a call addressed an earlier incarnation of the executor than the
// present one.
var ErrStaleIncarnation = errors.New("the executor has another incarnation now")

// ErrNoStatus means that an executor has answered a poll with something other than its status.
var ErrNoStatus = errors.New("the response to the poll is not an executor status")

// ErrNotReached means that nothing listens at the address of the executor: the call was not carried
// out and will not be.
var ErrNotReached = errors.New("nothing listens at the executor's address")

// Executor runs tasks on one VM. Each call addresses the incarnation inc and is carried out by no
// other. After any error except ErrNotReached the call may have been carried out, or may still be,
// even after later calls. However, a run that was stopped never starts afterwards.
type Executor interface {
	// Start starts a run, unless the executor refuses it for the reason in the outcome.
	Start(ctx context.Context, inc string, s RunStart) (StartOutcome, error)
	// Stop ends a run. If the run has not started, it never will.
	Stop(ctx context.Context, inc string, r RunRef, fence uint64) error
	// Poll returns the status, or ErrNoStatus if the response is something else.
	Poll(ctx context.Context, inc string, r PollRequest) (ExecutorStatus, error)
	// Pace sets the speed of a run, in percent of its full speed.
	Pace(ctx context.Context, inc string, r RunRef, percent int, fence uint64) error
}

// Adviser decides which VMs may run a step.
type Adviser interface {
	// Advise returns a ticket for each of the given executor incarnations that may run the step, by
	// incarnation.
	Advise(ctx context.Context, step string, incs []string) (tickets map[string]string, err error)
}
