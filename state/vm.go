package state

import (
	"time"

	"rudderfork.example/rudderfork"
)

// VM is a machine as control knows it.
type VM struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"` // of its agent, for requests
	Capacity rudderfork.Resources `cbor:"3,keyasint"`
	Reserved rudderfork.Resources `cbor:"4,keyasint"` // kept for its services
	Used     rudderfork.Resources `cbor:"5,keyasint"` // by tasks; the ledger
	Services []rudderfork.Service `cbor:"6,keyasint"`
	Epoch    rudderfork.Token     `cbor:"7,keyasint"` // rises with each registration after a loss
	Boot     string               `cbor:"8,keyasint"` // of its agent process
	Live     bool                 `cbor:"9,keyasint"`
	Draining bool                 `cbor:"10,keyasint"`
	LostAt   int64                `cbor:"11,keyasint,omitempty"` // Unix ms

	// Failures counts attempts that failed in a row, over different jobs.
	Failures      int              `cbor:"12,keyasint,omitempty"`
	FailedJob     rudderfork.JobID `cbor:"13,keyasint,omitempty"`
	ExcludedUntil int64            `cbor:"14,keyasint,omitempty"` // Unix ms; no tasks before
	Exclusions    int              `cbor:"15,keyasint,omitempty"` // times set aside in a row

	// Revision is that of the last change of what the VM is to run.
	Revision rudderfork.Revision `cbor:"16,keyasint"`
}

// FreeCapacity is what tasks may still take.
func (v *VM) FreeCapacity() rudderfork.Resources {
	return v.Capacity.Sub(v.Reserved).Sub(v.Used)
}

// Excluded reports whether the VM is set aside at the given time. When that ends
// it is on probation: one task at a time until one succeeds.
func (v *VM) Excluded(now int64) bool { return now < v.ExcludedUntil }

// OnProbation reports whether the VM may run only one task for now.
func (v *VM) OnProbation() bool { return v.Exclusions > 0 }

const (
	// asideAfter is how many attempts in a row must fail, of at least two jobs,
	// before a VM is set aside. A single job that fails everywhere does not
	// count against VMs.
	asideAfter = 3
	// asideBase is how long a VM is first set aside; it doubles with each time.
	asideBase = 10 * time.Second
	// asideMax bounds it.
	asideMax = 30 * time.Minute
)

// Register says that a VM's agent has come up, or come back.
type Register struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"`
	Capacity rudderfork.Resources `cbor:"3,keyasint"`
	Reserved rudderfork.Resources `cbor:"4,keyasint"`
	Services []rudderfork.Service `cbor:"5,keyasint"`
	Boot     string               `cbor:"6,keyasint"`
}

// VMLoss says that a VM's lease has run out.
type VMLoss struct {
	VM    rudderfork.VMID  `cbor:"1,keyasint"`
	Epoch rudderfork.Token `cbor:"2,keyasint"`
}

// Drain starts or ends a drain: no new tasks or requests, tasks move away.
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

// lost frees a VM's tasks. The leader proposes it only when no lease of the VM
// can be in force any more; the epoch makes a doubled proposal harmless.
func (s *State) lost(l VMLoss, at int64) Result {
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

// noteFailure counts an attempt that failed on v and sets v aside when it fails
// the tasks of several jobs.
func (v *VM) noteFailure(job rudderfork.JobID, at int64) {
	if v.FailedJob != "" && v.FailedJob != job {
		v.Failures++
	} else if v.Failures == 0 {
		v.Failures = 1
	}
	v.FailedJob = job
	limit := asideAfter
	if v.OnProbation() {
		limit = 1
	}
	if v.Failures < limit {
		return
	}
	wait := min(asideBase<<min(v.Exclusions, 16), asideMax)
	v.ExcludedUntil = at + wait.Milliseconds()
	v.Exclusions++
	v.Failures = 0
	v.FailedJob = ""
}

func (v *VM) noteSuccess() {
	v.Failures, v.FailedJob, v.Exclusions, v.ExcludedUntil = 0, "", 0, 0
}
