package rudderfork

import "time"

// Load is the load of an upstream that its agent reports, with responses and probe responses.
type Load struct {
	InFlight int           `cbor:"1,keyasint,omitempty"` // requests that hold a slot
	Queued   int           `cbor:"2,keyasint,omitempty"`
	Slots    int           `cbor:"3,keyasint,omitempty"`
	Latency  time.Duration `cbor:"4,keyasint,omitempty"` // recent median at the present load
	Leaving  bool          `cbor:"5,keyasint,omitempty"`
	Down     bool          `cbor:"6,keyasint,omitempty"`
}

// Upstream is an upstream as a Picker sees it.
type Upstream struct {
	Place Place
	Addr  string // the agent's address for requests, host:port
}

// Picker chooses an upstream. It is driven by events with given times, uses no sockets, and is not
// safe for concurrent use.
type Picker interface {
	// SetUpstreams replaces the list of upstreams. The records of those that stay are kept.
	SetUpstreams(us []Upstream, now time.Time)
	// Pick returns the VM to send a request to, and avoids the VMs in tried. ok is false if no VM
	// is usable.
	Pick(now time.Time, tried []VMID) (vm VMID, why string, ok bool)
	// Sent records that a request was sent to vm.
	Sent(vm VMID, now time.Time)
	// Done records that a request ended; failed is true for broken ones. took is 0 if it is no
	// measure of the latency, as for a refusal or a feed.
	Done(vm VMID, took time.Duration, failed bool, now time.Time)
	// Observe records a load that an agent reported.
	Observe(vm VMID, l Load, now time.Time)
}
