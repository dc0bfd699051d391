package rudderfork

import "time"

// VMView is a VM as a Placer sees it.
type VMView struct {
	Place    Place
	Capacity Resources
	Free     Resources
	Services []Service
	Tasks    map[string]int // running batch tasks by kind
	Pressure float64        // 0 for none; 1 and above where the service misses its target
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
	Avoid    []VMID    // VMs on which attempts of it failed
}

// Choice says where a task goes and why.
type Choice struct {
	VM         VMID
	Reason     string
	Rejections []Rejection // what else was considered, bounded
}

// Rejection says why a VM was not chosen.
type Rejection struct {
	VM     VMID   `cbor:"1,keyasint" json:"vm"`
	Reason string `cbor:"2,keyasint" json:"reason"`
}

// Placer chooses a VM for a task.
type Placer interface {
	// Place picks among vms; ok is false when none fits now, and the choice
	// then still carries the rejections.
	Place(t TaskView, vms []VMView, now time.Time) (c Choice, ok bool)
}

// Interference estimates how much batch kinds slow services.
type Interference interface {
	// Slowdown returns the expected factor (1 is none) and its standard error.
	Slowdown(s Service, kind string, now time.Time) (factor, stderr float64)
}
