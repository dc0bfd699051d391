package rudderfork

import (
	"context"
	"errors"
)

// Machine is a machine as its provider lists it.
type Machine struct {
	Name     string
	Up       bool   // neither moving, nor in upkeep, nor down
	Executor string // id of the executor on it, which may be in any life, or ""
}

// Issuer says in whose name an order to the provider is given: of two orders for a
// machine the one with the higher fencing token is newer.
type Issuer struct {
	Holder string
	Fence  uint64
}

// The errors of a provider's orders. After any other error an order may have
// been carried out.
var (
	// ErrNoMachine means that the provider does not know the machine.
	ErrNoMachine = errors.New("the provider does not know the machine")
	// ErrRefused means that the order was not carried out, and may be later.
	ErrRefused = errors.New("the provider refused the order")
	// ErrFenced means that it was not carried out, since an order with a higher
	// fencing token was given for the machine.
	ErrFenced = errors.New("another holder's order is newer")
)

// Provider keeps the machines on which VMs run.
type Provider interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep begins a machine's upkeep in a wave; all that runs there dies. An
	// upkeep that has been done is not done again.
	Upkeep(ctx context.Context, d Issuer, machine string, wave uint64) error
}
