// Package rudderfork defines the types that all other packages share.
//
// An operator maintains a shared table. Each row describes a service, a batch job or a team, and
// each cell of a row is a number: a weight, a limit or a size. Three kinds of process work with the
// table:
//
//   - control processes replicate the table, the jobs, the leases and the claims (rights to run a
//     request that must run at most once) by a quorum; the leader among them decides where tasks
//     run;
//   - an agent runs beside the upstream and worker of each VM; it admits requests,
//     runs tasks under leases and makes the final check of what its VM may run;
//   - an entry accepts requests from clients and chooses an upstream for each.
//
// In addition, clients submit jobs of several steps to job queues. Package queue is the replicated
// state of the queues. Packages scheduler and dispatch are the leader's part, front sends requests
// about queues to the leader, and runner and runs run the tasks at the executor of each VM.
//
// Decisions are made in packages without I/O (quorum, state, placement, routing, admission,
// interference, lease, queue, dispatch, runs). They take events and a given time and return what to
// do. The packages control, agent, entry, scheduler and runner add sockets, files and timers.
//
// This package contains identifiers, sizes, the columns of the table, the records that decisions
// use, and the interfaces of replaceable behaviour. It does no I/O and imports no other package of
// the project.
package rudderfork

import "time"

// VMID identifies a VM. It stays the same when the VM restarts.
type VMID string

// Domain names a failure domain: VMs that one fault can make unavailable together.
type Domain string

// Region names a group of failure domains that can lose contact with other groups.
type Region string

// Team names a client account. Quotas and fairness apply per team.
type Team string

// Service names a latency-critical service.
type Service string

// JobID identifies a batch job or a job of a queue.
type JobID string

// TaskID identifies a task: "job/index" for a batch job, "job.occurrence.step.index" for a job of a
// queue.
type TaskID string

// Revision counts the accepted changes of the replicated state. It never decreases.
type Revision uint64

// Token is a fencing token: of two leases on a task the one with the higher token is newer. It
// rises by one with each attempt to run the task.
type Token uint64

// Place is where a process runs, according to its settings.
type Place struct {
	VM     VMID   `cbor:"1,keyasint" json:"vm"`
	Domain Domain `cbor:"2,keyasint" json:"domain"`
	Region Region `cbor:"3,keyasint,omitempty" json:"region,omitempty"`
	Rack   string `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
}

// Millis converts t to Unix milliseconds, the form of absolute times in messages and in the
// replicated state.
func Millis(t time.Time) int64 { return t.UnixMilli() }

// FromMillis is the inverse of Millis.
func FromMillis(ms int64) time.Time { return time.UnixMilli(ms) }
