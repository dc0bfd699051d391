package jobtime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
)

// at is a time in seconds.
func at(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

func seconds(parts map[Part]time.Duration) map[Part]float64 {
	m := map[Part]float64{}
	for p, d := range parts {
		if d != 0 {
			m[p] = d.Seconds()
		}
	}
	return m
}

// runOf is the events of a run.
func runOf(task string, number uint32, placed, ended float64, how queue.Outcome) []Event {
	return []Event{
		{Kind: Placed, At: at(placed), Task: key(task), Run: number},
		{Kind: Ended, At: at(ended), Task: key(task), Run: number, Outcome: how},
	}
}

// key is the task's, as logs write it.
func key(task string) queue.TaskKey {
	k, err := queue.ParseTaskKey(task)
	if err != nil {
		panic(err)
	}
	return k
}

func logOf(groups ...[]Event) *Log {
	l := New()
	l.Add(Event{Kind: Submitted, At: at(0), Job: "j"})
	for _, g := range groups {
		for _, e := range g {
			l.Add(e)
		}
	}
	return l
}

// assertParts holds that a log has one job, whose time went so.
func assertParts(t *testing.T, l *Log, want map[Part]float64) {
	t.Helper()
	jobs := l.Jobs()
	assert.Equal(t, len(jobs), 1)
	assert.DeepEqual(t, seconds(jobs[0].Parts), want)
	sum := time.Duration(0)
	for _, d := range jobs[0].Parts {
		sum += d
	}
	assert.Equal(t, sum, jobs[0].Took)
}

func TestJobs(t *testing.T) {
	t.Run("the chain of the slowest tasks", func(t *testing.T) {
		assertParts(t, logOf(
			runOf("j.0.0.0", 1, 1, 2, queue.OutcomeDone), runOf("j.0.0.1", 1, 1, 4, queue.OutcomeDone), runOf("j.0.1.0", 1, 4.5, 6, queue.OutcomeDone),
		), map[Part]float64{Waiting: 1.5, Working: 4.5})
	})
	t.Run("a run that failed, and the wait after it", func(t *testing.T) {
		assertParts(t, logOf(runOf("j.0.0.0", 1, 1, 2, "failed"), runOf("j.0.0.0", 2, 3, 5, queue.OutcomeDone)),
			map[Part]float64{Waiting: 1, lost + "ended failed": 1, WaitingAgain: 1, Working: 2})
	})
	t.Run("a run that was stopped", func(t *testing.T) {
		stop := []Event{{Kind: Stopping, At: at(1.5), Task: key("j.0.0.0"), Run: 1, Reason: "held back"}}
		assertParts(t, logOf(runOf("j.0.0.0", 1, 0, 2, "stopped"), stop, runOf("j.0.0.0", 2, 2, 4, queue.OutcomeDone)),
			map[Part]float64{lost + "was stopped: held back": 2, Working: 2})
	})
	t.Run("a run that was lost with its VM", func(t *testing.T) {
		lostRun := runOf("j.0.0.0", 1, 0, 0, "")[:1]
		assertParts(t, logOf(lostRun, runOf("j.0.0.0", 2, 6, 8, queue.OutcomeDone)),
			map[Part]float64{lost + "ended with its VM": 6, Working: 2})
	})
	t.Run("a filler that was paced down", func(t *testing.T) {
		paces := []Event{
			{Kind: PaceChanged, At: at(1), Task: key("j.0.0.0"), Run: 1, Percent: 50},
			{Kind: PaceChanged, At: at(3), Task: key("j.0.0.0"), Run: 1, Percent: 100},
		}
		assertParts(t, logOf(paces, runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone)), map[Part]float64{PacedDown: 1, Working: 3})
	})
	t.Run("a copy beside the run that did it", func(t *testing.T) {
		assertParts(t, logOf(runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone), runOf("j.0.0.0", 2, 2, 4.5, "stopped")),
			map[Part]float64{Working: 4})
	})
	t.Run("a copy that did it too, later", func(t *testing.T) {
		for range 20 { // whatever the order of the runs
			assertParts(t, logOf(runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone), runOf("j.0.0.0", 2, 2, 4.5, queue.OutcomeDone)), map[Part]float64{Working: 4})
		}
	})
	t.Run("jobs that have not ended are left out", func(t *testing.T) {
		assert.Equal(t, len(logOf(runOf("j.0.0.0", 1, 0, 4, "failed")).Jobs()), 0)
	})
	t.Run("tasks that take no time end the walk", func(t *testing.T) {
		assertParts(t, logOf(runOf("j.0.0.0", 1, 1, 1, queue.OutcomeDone), runOf("j.0.1.0", 1, 1, 1, queue.OutcomeDone)), map[Part]float64{Waiting: 1})
	})
}
