// Package crash defines crash points, at which tests kill a process.
//
// A process started with RUDDER_CRASH=NAME kills itself with SIGKILL, so without any
// cleanup, when it first reaches the crash point NAME. Without the variable a crash point
// costs one comparison.
package crash

import (
	"os"
	"syscall"
)

// Env is the environment variable that selects the crash point.
const Env = "RUDDER_CRASH"

// selected is the name of the selected crash point; empty for none.
var selected = os.Getenv(Env)

// The crash points of control, of an agent that runs a task, and of an entry and an agent
// that forward a request, each group in the order in which processes reach them.
const (
	ControlSave     = "control.save"     // before entries are written and synced
	ControlSaved    = "control.saved"    // entries are synced, but not yet acknowledged
	ControlApplied  = "control.applied"  // an entry is applied, but its proposer has no result yet
	ControlSnapshot = "control.snapshot" // the snapshot is written, but not the log file that follows it
	AgentStart      = "agent.start"      // before the worker is asked to start the task
	AgentStarted    = "agent.started"    // the worker has been asked to start the task
	AgentStop       = "agent.stop"       // before the worker is asked to stop the task
	AgentStopped    = "agent.stopped"    // the worker has been asked to stop the task
	AgentReport     = "agent.report"     // before the report about the task is sent to control
	AgentReported   = "agent.reported"   // control has acknowledged the report; the acknowledgement is not processed
	AgentForget     = "agent.forget"     // before the worker is asked to forget the task
	EntryClaimed    = "entry.claimed"    // the entry holds the claim, but has not sent the request
	EntrySent       = "entry.sent"       // the upstream's response has reached the entry, but not the caller
	EntryAnswered   = "entry.answered"   // the response is written to the caller, but not recorded by control
	AgentBegun      = "agent.begun"      // the claim is used, but the request is not forwarded
	AgentForwarded  = "agent.forwarded"  // the upstream's response has reached the agent, but not the entry
)

// Point kills the process if name is the selected crash point.
func Point(name string) {
	if selected != "" && selected == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until the signal is delivered
	}
}
