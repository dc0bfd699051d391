// Package rudderfork holds the model that every other package shares.
//
// An operator keeps a shared table. Each row stands for a service, a batch job
// or a team, and each cell of a row is a number: a weight, a limit or a size.
// Three kinds of process act on the table:
//
//   - control processes replicate the table, the jobs, the leases and the
//     claims through a quorum; the leader among them decides where tasks run;
//   - an agent stands beside each VM's upstream and worker; it admits requests,
//     runs tasks under leases and is the last check on what its VM may run;
//   - an entry takes requests from callers and chooses an upstream for each.
//
// The decisions live in packages without I/O (quorum, state, placement,
// routing, admission, interference, lease). They take events and a given time
// and return what to do. The processes in control, agent and entry put
// sockets, files and timers round them.
//
// This package holds identities, sizes, the table's columns, the records that
// decisions read, and the interfaces of the behaviour that varies. It does no
// I/O and imports nothing of the project.
package rudderfork

import "time"

// VMID names a machine. It stays the same when the machine restarts.
type VMID string

// Domain names a failure domain: VMs that one fault can take out together.
type Domain string

// Region names a group of failure domains that can lose contact with others.
type Region string

// Team names a customer; quotas and fairness are per team.
type Team string

// Service names a latency-critical service.
type Service string

// JobID names a batch job.
type JobID string

// TaskID names one task of a batch job, as "job/index".
type TaskID string

// Revision counts accepted changes of the replicated state. It only rises.
type Revision uint64

// Token is a fencing token: of two leases on a task the higher token is newer.
// It rises by one with each attempt to run the task.
type Token uint64

// Place says where a process runs. All three parts come from its settings.
type Place struct {
	VM     VMID   `cbor:"1,keyasint" json:"vm"`
	Domain Domain `cbor:"2,keyasint" json:"domain"`
	Region Region `cbor:"3,keyasint,omitempty" json:"region,omitempty"`
	Rack   string `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
}

// Millis converts t to Unix milliseconds, the form in which absolute times
// travel between processes and rest in the replicated state.
func Millis(t time.Time) int64 { return t.UnixMilli() }

// FromMillis is the inverse of Millis.
func FromMillis(ms int64) time.Time { return time.UnixMilli(ms) }
