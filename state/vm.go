package state

import (
	"time"

	"rudderfork.example/rudderfork"
)

// VM is a VM with its registration, the capacity that its tasks use, and its
// failures.
type VM struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"` // of its agent, for requests to its services
	Capacity rudderfork.Resources `cbor:"3,keyasint"`
	Reserved rudderfork.Resources `cbor:"4,keyasint"` // part of Capacity that is kept for its services
	Used     rudderfork.Resources `cbor:"5,keyasint"` // sum of the sizes of its tasks
	Services []rudderfork.Service `cbor:"6,keyasint"`
	Epoch    rudderfork.Token     `cbor:"7,keyasint"` // rises with each registration after a loss
	Boot     string               `cbor:"8,keyasint"` // boot ID of its agent process
	Live     bool                 `cbor:"9,keyasint"` // registered, and not lost since
	Draining bool                 `cbor:"10,keyasint"`
	LostAt   int64                `cbor:"11,keyasint,omitempty"` // time of the last loss, Unix ms; 0 if never

	// Failures is the number of failed attempts since the last success or
	// exclusion. Successive failures of one job count as one.
	Failures      int              `cbor:"12,keyasint,omitempty"`
	FailedJob     rudderfork.JobID `cbor:"13,keyasint,omitempty"` // job of the last of them
	ExcludedUntil int64            `cbor:"14,keyasint,omitempty"` // no task is placed on the VM before this time, Unix ms
	Exclusions    int              `cbor:"15,keyasint,omitempty"` // number of exclusions since the last success

	// Revision is that of the last change of the VM's leases, registration or
	// drain.
	Revision rudderfork.Revision `cbor:"16,keyasint"`
}

// FreeCapacity returns the capacity that is neither reserved nor used by tasks.
func (v *VM) FreeCapacity() rudderfork.Resources {
	return v.Capacity.Sub(v.Reserved).Sub(v.Used)
}

// Excluded reports whether the VM gets no tasks at the given time, Unix ms,
// because too many failed there. After the exclusion the VM is on probation.
func (v *VM) Excluded(now int64) bool { return now < v.ExcludedUntil }

// OnProbation reports whether the VM may run only one task at a time, which
// holds after an exclusion until a task succeeds.
func (v *VM) OnProbation() bool { return v.Exclusions > 0 }

const (
	// excludeAfterFailures is the value of VM.Failures at which a VM is excluded. The
	// failures of a single job don't reach it, so a job that fails everywhere
	// excludes no VM.
	excludeAfterFailures = 3
	// baseExclusion is the duration of the first exclusion; each further one is
	// twice as long, up to maxExclusion.
	baseExclusion = 10 * time.Second
	maxExclusion  = 30 * time.Minute
)

// Register adds a VM, or records that its agent has started or connected again.
type Register struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"`
	Capacity rudderfork.Resources `cbor:"3,keyasint"`
	Reserved rudderfork.Resources `cbor:"4,keyasint"`
	Services []rudderfork.Service `cbor:"5,keyasint"`
	Boot     string               `cbor:"6,keyasint"`
}

// VMLoss records that a VM's lease has expired.
type VMLoss struct {
	VM    rudderfork.VMID  `cbor:"1,keyasint"`
	Epoch rudderfork.Token `cbor:"2,keyasint"`
}

// Drain starts or, with Off, ends a drain: the VM gets no new tasks or requests,
// and its tasks are evicted.
type Drain struct {
	VM  rudderfork.VMID `cbor:"1,keyasint"`
	Off bool            `cbor:"2,keyasint,omitempty"`
}

func (s *State) register(r Register) Result {
	v := s.vms[r.Place.VM]
	if v == nil {
		v = &VM{}
		s.vms[r.Place.VM] = v
	}
	if !v.Live {
		v.Epoch++
	}
	v.Place, v.Addr = r.Place, r.Addr
	v.Capacity, v.Reserved = r.Capacity, r.Reserved
	v.Services, v.Boot = r.Services, r.Boot
	v.Live = true
	v.Revision, s.upstreamRev = s.revision, s.revision
	res := s.ok()
	res.Epoch = v.Epoch
	return res
}

// recordLoss makes a VM's tasks pending again. The leader proposes it only when no
// lease of the VM can be valid any more. A repeated proposal is rejected, since the
// VM is no longer live at that epoch.
func (s *State) recordLoss(l VMLoss, at int64) Result {
	v := s.vms[l.VM]
	if v == nil || !v.Live || v.Epoch != l.Epoch {
		return s.reject(CodeConflict, "VM %s is not live at epoch %d", l.VM, l.Epoch)
	}
	v.Live = false
	v.LostAt = at
	s.upstreamRev = s.revision
	for _, t := range sorted(s.onVM[l.VM]) {
		s.endAttempt(t, "the VM's lease ran out", at)
	}
	return s.ok()
}

func (s *State) drain(d Drain) Result {
	v := s.vms[d.VM]
	if v == nil {
		return s.reject(CodeNotFound, "VM %s is unknown", d.VM)
	}
	v.Draining = !d.Off
	v.Revision, s.upstreamRev = s.revision, s.revision
	return s.ok()
}

// recordFailure counts a failed attempt on v. It excludes v when Failures reaches
// excludeAfterFailures, or at the first failure on probation.
func (v *VM) recordFailure(job rudderfork.JobID, at int64) {
	if v.FailedJob != "" && v.FailedJob != job {
		v.Failures++
	} else if v.Failures == 0 {
		v.Failures = 1
	}
	v.FailedJob = job
	limit := excludeAfterFailures
	if v.OnProbation() {
		limit = 1
	}
	if v.Failures < limit {
		return
	}
	wait := min(baseExclusion<<min(v.Exclusions, 16), maxExclusion)
	v.ExcludedUntil = at + wait.Milliseconds()
	v.Exclusions++
	v.Failures = 0
	v.FailedJob = ""
}

func (v *VM) recordSuccess() {
	v.Failures, v.FailedJob, v.Exclusions, v.ExcludedUntil = 0, "", 0, 0
}
