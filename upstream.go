package rudderfork

import "time"

// Load is what an agent reports about its upstream, on answers and probes.
type Load struct {
	InFlight int           `cbor:"1,keyasint,omitempty"` // requests holding a slot
	Queued   int           `cbor:"2,keyasint,omitempty"`
	Slots    int           `cbor:"3,keyasint,omitempty"`
	Latency  time.Duration `cbor:"4,keyasint,omitempty"` // recent median at the present load
	Leaving  bool          `cbor:"5,keyasint,omitempty"`
	Down     bool          `cbor:"6,keyasint,omitempty"`
}

// Upstream is one back end as a Picker sees it.
type Upstream struct {
	Place Place
	Addr  string // the agent's address for requests, host:port
}

// Picker chooses an upstream. It is driven by events and given times, holds no
// sockets, and is not safe for concurrent use; callers lock round it.
type Picker interface {
	// SetUpstreams replaces the list. What is known of those that stay is kept.
	SetUpstreams(us []Upstream, now time.Time)
	// Pick returns a VM to send a request to; ok is false when none is usable.
	// VMs in tried are avoided.
	Pick(now time.Time, tried []VMID) (vm VMID, why string, ok bool)
	// Sent notes that a request went to vm.
	Sent(vm VMID, now time.Time)
	// Done notes that the request ended; failed is for broken ones. took is 0
	// if it says nothing about the latency, as for a refusal or a feed.
	Done(vm VMID, took time.Duration, failed bool, now time.Time)
	// Observe takes a load that an agent reported.
	Observe(vm VMID, l Load, now time.Time)
}
