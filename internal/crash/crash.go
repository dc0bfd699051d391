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

var at = os.Getenv(Env)

// The crash points of control, of an agent that runs a task, and of an entry and an agent
// that forward a request, each group in the order in which processes reach them.
const (
	ControlSave     = "control.save"     // before entries are synced
	ControlSaved    = "control.saved"    // synced, not yet acknowledged
	ControlApplied  = "control.applied"  // applied, no other process informed
	ControlSnapshot = "control.snapshot" // in the middle of a snapshot
	AgentStart      = "agent.start"      // before the worker is asked to start
	AgentStarted    = "agent.started"    // the worker has started it
	AgentStop       = "agent.stop"       // before the worker is asked to stop
	AgentStopped    = "agent.stopped"    // the worker has stopped it
	AgentReport     = "agent.report"     // the end is known, control not informed
	AgentReported   = "agent.reported"   // reported to control, no response read
	AgentForget     = "agent.forget"     // before the worker is asked to forget it
	EntryClaimed    = "entry.claimed"    // the claim is held, nothing sent
	EntrySent       = "entry.sent"       // the upstream has answered the entry
	EntryAnswered   = "entry.answered"   // the caller has the response, control not informed
	AgentBegun      = "agent.begun"      // the claim is used, nothing forwarded
	AgentForwarded  = "agent.forwarded"  // the upstream has answered the agent
)

// Point kills the process if name is the selected crash point.
func Point(name string) {
	if at != "" && at == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until the signal is delivered
	}
}
