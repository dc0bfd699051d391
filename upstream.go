package rudderfork

import "time"

// Load is the load of a service on an upstream. The upstream's agent reports it with each response
// and each answer to a probe.
type Load struct {
	InFlight int           `cbor:"1,keyasint,omitempty"` // requests that hold a slot
	Queued   int           `cbor:"2,keyasint,omitempty"` // requests that wait for a slot
	Slots    int           `cbor:"3,keyasint,omitempty"` // requests that may be in progress at a time
	Latency  time.Duration `cbor:"4,keyasint,omitempty"` // moving average of the time that a request takes at the upstream
	Leaving  bool          `cbor:"5,keyasint,omitempty"` // the agent shuts down or drains, and refuses new requests
	Down     bool          `cbor:"6,keyasint,omitempty"` // the upstream cannot be reached, or does not have the service
}

// Upstream is an upstream as a Picker sees it.
type Upstream struct {
	Place Place
	Addr  string // the agent's address for requests, host:port
}

// Picker chooses an upstream. It is driven by events with given times, uses no sockets, and is not
// safe for concurrent use.
type Picker interface {
	// SetUpstreams replaces the list of upstreams. What the picker has recorded about an upstream
	// is kept if the new list contains it.
	SetUpstreams(us []Upstream, now time.Time)
	// Pick returns the VM to send a request to, other than those in tried, and the reason for the
	// choice. ok is false if no VM is usable.
	Pick(now time.Time, tried []VMID) (vm VMID, reason string, ok bool)
	// Sent records that a request was sent to vm.
	Sent(vm VMID, now time.Time)
	// Done records that a request ended. failed reports whether the upstream gave no response or a
	// server error. took is 0 if the duration of the request says nothing about the latency,
	// as for a refused request or for a feed, a response that stays open.
	Done(vm VMID, took time.Duration, failed bool, now time.Time)
	// Observe records a load that an agent reported.
	Observe(vm VMID, l Load, now time.Time)
}
