package scheduler

import (
	"testing"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
)

// TestTaskBoundToVMWithUnansweredStarts guards against a task that stays forever on a VM whose
// executor answers all calls but its start.
func TestTaskBoundToVMWithUnansweredStarts(t *testing.T) {
	s := newTestCluster(t, nil)
	s.addVM(executor.Config{Fate: func(call string) executor.Fate {
		if call == "start" {
			return executor.RequestLost
		}
		return executor.Answered
	}})
	s.putDocument(nil)
	s.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	s.waitUntil("the lasting task is placed", func() bool { return s.activeRuns() == 1 })
	second := s.addVM(executor.Config{})
	s.waitUntil("the task runs elsewhere", func() bool { return len(second.Running()) == 1 })
}

func (s *testCluster) activeRuns() (n int) {
	s.sched.rep.View(func(st *state.State) { n = st.Queues().Job("feed").ActiveRuns })
	return n
}
