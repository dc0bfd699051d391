// Package crash lets tests end a process at a named step.
//
// A process started with RUDDER_CRASH=NAME kills itself, without a chance to
// clean up, the first time it comes to the point of that name. Without the
// variable a point costs one comparison.
package crash

import (
	"os"
	"syscall"
)

// Env names the environment variable.
const Env = "RUDDER_CRASH"

var at = os.Getenv(Env)

// The points, by process and in the order in which a hand-over comes to them.
const (
	ControlSave     = "control.save"     // before entries are synced
	ControlSaved    = "control.saved"    // synced, not yet acknowledged
	ControlApplied  = "control.applied"  // applied, nobody told
	ControlSnapshot = "control.snapshot" // in the middle of a snapshot
	AgentStart      = "agent.start"      // before the worker is asked to start
	AgentStarted    = "agent.started"    // the worker has started it
	AgentStop       = "agent.stop"       // before the worker is asked to stop
	AgentStopped    = "agent.stopped"    // the worker has stopped it
	AgentReport     = "agent.report"     // the end is known, control not told
	AgentReported   = "agent.reported"   // control told, no answer read
	AgentForget     = "agent.forget"     // before the worker forgets it
	EntryClaimed    = "entry.claimed"    // the claim is held, nothing sent
	EntrySent       = "entry.sent"       // the upstream has answered the entry
	EntryAnswered   = "entry.answered"   // the caller has the answer, control not told
	AgentBegun      = "agent.begun"      // the claim is used, nothing forwarded
	AgentForwarded  = "agent.forwarded"  // the upstream has answered the agent
)

// Point ends the process if name was chosen.
func Point(name string) {
	if at != "" && at == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // the signal is on its way
	}
}
