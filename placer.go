package rudderfork

import "time"

// VMView is a VM as a Placer sees it.
type VMView struct {
	Place    Place
	Capacity Resources
	Free     Resources
	Services []Service
	Tasks    map[string]int // running batch tasks by kind
	Pressure float64        // tail latency of its services over their target; above 1 the target is missed, 0 if unknown
}

// TaskView is a pending task as a Placer sees it.
type TaskView struct {
	ID       TaskID
	Job      JobID
	Team     Team
	Kind     string
	Size     Resources
	Priority int64
	Weight   int64
	Deadline time.Time // zero for none
	Avoid    []VMID    // VMs on which attempts of the task failed
}

// Choice is the VM chosen for a task, with the reason.
type Choice struct {
	VM         VMID
	Reason     string
	Rejections []Rejection // some of the VMs that were not chosen, up to a limit
}

// Rejection is the reason why a VM was not chosen.
type Rejection struct {
	VM     VMID   `cbor:"1,keyasint" json:"vm"`
	Reason string `cbor:"2,keyasint" json:"reason"`
}

// Placer chooses a VM for a task.
type Placer interface {
	// Place chooses among vms. ok is false if the task fits on no VM now; c then
	// contains only the rejections.
	Place(t TaskView, vms []VMView, now time.Time) (c Choice, ok bool)
}

// Interference estimates how much kinds of batch job slow down services.
type Interference interface {
	// Slowdown returns the expected factor by which tasks of the kind raise the latency of the
	// service, 1 for no effect, and its standard error.
	Slowdown(s Service, kind string, now time.Time) (factor, stderr float64)
}
