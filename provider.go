package rudderfork

import (
	"context"
	"errors"
)

// Machine is a physical host, as the provider lists it. VMs run on machines.
type Machine struct {
	Name     string
	Up       bool   // false while it migrates, is in upkeep or is down
	Executor string // ID of the executor on the machine, without its start time; "" if there is none
}

// Issuer identifies the process that gives an order to the provider. Of two orders for one machine,
// the one with the higher fencing token is newer.
type Issuer struct {
	Holder string
	Fence  uint64
}

// Errors of orders to the provider. After any other error, the order may have been carried out.
var (
	// ErrNoMachine means that the provider does not know the machine.
	ErrNoMachine = errors.New("the provider does not know the machine")
	// ErrRefused means that the order was not carried out. It may be retried.
	ErrRefused = errors.New("the provider refused the order")
	// ErrFenced means that the order was not carried out because an order with a higher fencing
	// token was given for the machine before.
	ErrFenced = errors.New("an order with a higher fencing token exists")
)

// Provider manages the machines on which VMs run.
type Provider interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep starts the upkeep of a machine as part of a wave. Everything that runs on the machine
	// ends. An upkeep that was already done in the wave is not repeated.
	Upkeep(ctx context.Context, issuer Issuer, machine string, wave uint64) error
}
