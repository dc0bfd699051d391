package vmspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// Snapshot is the estimates of all VMs.
type Snapshot []VMSnapshot

// VMSnapshot is the estimate of one incarnation of a VM.
type VMSnapshot struct {
	VM          rudderfork.VMID `cbor:"1,keyasint"`
	Incarnation string          `cbor:"2,keyasint"`
	LogSpeed    float64         `cbor:"3,keyasint"` // logarithm of the speed
	Weight      float64         `cbor:"4,keyasint"` // number of runs that it is based on
	AgeMS       int64           `cbor:"5,keyasint"` // age of the estimate at the time of the snapshot, ms
}

// minSnapshotWeight is the weight below which an estimate is left out of a snapshot, since it
// says hardly more than no observation.
const minSnapshotWeight = 0.1

// Snapshot returns the estimates, ordered by VM. It does not contain the runs.
func (m *Model) Snapshot(now time.Time) (s Snapshot) {
	for id, v := range m.vms {
		if v.weight >= minSnapshotWeight {
			s = append(s, VMSnapshot{id, v.incarnation, v.log, v.weight, max(0, now.Sub(v.at).Milliseconds())})
		}
	}
	slices.SortFunc(s, func(a, b VMSnapshot) int { return cmp.Compare(a.VM, b.VM) })
	return s
}

// maxWeight bounds the weight of a restored estimate: the most runs that a VM usually has.
const maxWeight = 64

// Restore takes over the estimates of a snapshot that was taken at a time. VMs that have an
// estimate keep it, and values that are out of range are ignored.
func (m *Model) Restore(s Snapshot, at time.Time) {
	for _, e := range s {
		valid := math.Abs(e.LogSpeed) <= maxLog && e.Weight >= 0 && e.Weight <= maxWeight && e.AgeMS >= 0
		if m.vms[e.VM] == nil && valid {
			m.vms[e.VM] = &vmEstimate{
				incarnation: e.Incarnation, runs: map[queue.RunKey]*runRate{}, log: e.LogSpeed, weight: e.Weight,
				at: at.Add(-min(time.Duration(e.AgeMS)*time.Millisecond, time.Hour)),
			}
		}
	}
}
