package state

import (
	"fmt"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	At       int64     `cbor:"1,keyasint"` // when it was proposed, by the proposer's clock, Unix ms
	Edit     *Edit     `cbor:"2,keyasint,omitempty"`
	Submit   *Submit   `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"4,keyasint,omitempty"`
	Register *Register `cbor:"5,keyasint,omitempty"`
	Lost     *VMLoss   `cbor:"6,keyasint,omitempty"`
	Drain    *Drain    `cbor:"7,keyasint,omitempty"`
	Place    *Place    `cbor:"8,keyasint,omitempty"`
	Evict    *Evict    `cbor:"9,keyasint,omitempty"`
	Reports  *Reports  `cbor:"10,keyasint,omitempty"`
	Claim    *Acquire  `cbor:"11,keyasint,omitempty"`
	Settle   *Settle   `cbor:"12,keyasint,omitempty"`

	Queue *queue.Command `cbor:"13,keyasint,omitempty"`
}

// Code is the outcome of a command.
type Code string

// The codes of a Result.
const (
	CodeOK       Code = "ok"
	CodeConflict Code = "conflict" // the state differs from the one that the command assumes
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not-found"
)

// Result is the result of a command, the same on every replica. Revision is that of
// the state after the command. A repeated edit or submission returns the revision
// of its first application.
type Result struct {
	Code     Code                `cbor:"1,keyasint" json:"code"`
	Text     string              `cbor:"2,keyasint,omitempty" json:"text,omitempty"`
	Revision rudderfork.Revision `cbor:"3,keyasint" json:"revision"`
	Cells    []rudderfork.Cell   `cbor:"4,keyasint,omitempty" json:"cells,omitempty"`    // written by an edit; on a conflict, the present cells whose revisions differ
	Repeated bool                `cbor:"5,keyasint,omitempty" json:"repeated,omitempty"` // the edit or submission was applied before
	Epoch    rudderfork.Token    `cbor:"6,keyasint,omitempty" json:"epoch,omitempty"`    // of the registered VM
	Placed   []bool              `cbor:"7,keyasint,omitempty" json:"-"`                  // by placement of the command, whether it was accepted
	Accepted []bool              `cbor:"10,keyasint,omitempty" json:"-"`                 // by report of the command, whether it was accepted
	Claim    *Claim              `cbor:"8,keyasint,omitempty" json:"-"`                  // the stored claim after an Acquire
	Granted  bool                `cbor:"9,keyasint,omitempty" json:"-"`                  // the Acquire was granted: the caller holds the claim
	Queue    queue.Result        `cbor:"-" json:"-"`                                     // result of a command on the queues
}

func (s *State) ok() Result { return Result{Code: CodeOK, Revision: s.revision} }

func (s *State) reject(c Code, format string, args ...any) Result {
	return Result{Code: c, Text: fmt.Sprintf(format, args...), Revision: s.revision}
}
