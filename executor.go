package rudderfork

import (
	"context"
	"errors"
)

// RunRef names one run of a task.
type RunRef struct {
	Task TaskID `cbor:"1,keyasint"`
	Run  uint32 `cbor:"2,keyasint"`
}

// RunStart is what an executor needs to start a run.
type RunStart struct {
	RunRef
	Payload    string
	Checkpoint string // to resume from; "" means from the beginning
	Ticket     string // of the adviser, where the queue has one
	UntilMS    int64  // end of the lease, on the executor's own clock
	Fence      uint64 // an executor does nothing for a token below the highest it saw
}

// StartOutcome is an executor's answer to a start.
type StartOutcome int

// The outcomes. With all but Started the call has started nothing.
const (
	Started      StartOutcome = iota // also if the run was there already
	StartFenced                      // a higher token was seen
	StartEnded                       // that run, or a later one, has ended there
	StartExpired                     // the lease had run out
	StartNoRoom                      // it does not fit
	StartTicket                      // the ticket is not valid
	StartInvalid                     // the executor cannot read the order
	StartBusy                        // the executor is unwell
)

// String names the outcome.
func (o StartOutcome) String() string {
	names := [...]string{"started", "fenced", "old", "late", "no room", "ticket", "invalid", "busy"}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// RunStatus is a run as its executor sees it.
type RunStatus struct {
	RunRef           `cbor:"1,keyasint"`
	Checkpoint       string `cbor:"2,keyasint,omitempty"`
	Percent          int    `cbor:"3,keyasint,omitempty"` // of the work; of a lasting task 100 when it is at work
	Load             int64  `cbor:"4,keyasint,omitempty"` // tail of a serving task's answers in ms, else thousandths of a core
	PacedDownPercent int    `cbor:"5,keyasint,omitempty"` // percent by which it is paced down, as last asked for
}

// EndedRun is the end of a run as its executor lists it, until it is told that
// the row was taken note of.
type EndedRun struct {
	Seq uint64 // 0 if it must not be acknowledged, since one before it could not be read
	RunRef
	Outcome    string // an ending of package queue
	Checkpoint string
}

// ExecutorStatus is an executor's account of itself.
type ExecutorStatus struct {
	ClockMS int64 // the executor's own clock
	Running []RunStatus
	Ended   []EndedRun
	// Partial says that it held more, which could not be read: what it does not list may
	// be there all the same.
	Partial bool
}

// PollRequest asks for a Look.
type PollRequest struct {
	UntilMS   int64  // extends the lease of all that runs; 0 leaves it
	Fence     uint64 // as in RunStart
	AckedUpTo uint64 // ends up to this row were taken note of
	WaitMS    int64  // waits so long for an end that is not acknowledged
}

// ErrStaleIncarnation means that what was meant has been replaced by a newer life.
var ErrStaleIncarnation = errors.New("the executor has another life now")

// ErrNoStatus means that an executor has answered a look, but not with its account.
var ErrNoStatus = errors.New("the executor answered without its account")

// ErrNotReached means that nothing listens where the executor should: the call was
// not carried out and will not be.
var ErrNotReached = errors.New("nothing listens at the executor's address")

// Executor runs tasks on one VM. Each call is meant for one life of it, and carried out
// by no other. After an error but ErrNotReached a call may have been carried out, or may
// yet be, also after later calls; but a run that was stopped never starts afterwards.
type Executor interface {
	Start(ctx context.Context, life string, s RunStart) (StartOutcome, error)
	// Stop ends a run, and keeps one that is not there from ever starting.
	Stop(ctx context.Context, life string, r RunRef, fence uint64) error
	// Poll returns the account, or ErrNoStatus if it is answered otherwise.
	Poll(ctx context.Context, life string, r PollRequest) (ExecutorStatus, error)
	// Pace sets the share of its full speed, in percent, at which a run works.
	Pace(ctx context.Context, life string, r RunRef, percent int, fence uint64) error
}

// Adviser knows which VMs may run a step.
type Adviser interface {
	// Advise asks about some executors' lives. It returns tickets by life, for
	// those that may run the step.
	Advise(ctx context.Context, step string, lives []string) (tickets map[string]string, err error)
}
