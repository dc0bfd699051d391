package jobtime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
)

// at returns the time s seconds after the start of a test.
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

// runOf returns the events of a run that was placed and ended at the given times, in
// seconds.
func runOf(task string, number uint32, placed, ended float64, outcome queue.Outcome) []Event {
	return []Event{
		{Kind: Placed, At: at(placed), Task: key(task), Run: number},
		{Kind: Ended, At: at(ended), Task: key(task), Run: number, Outcome: outcome},
	}
}

// key parses a task key as it is written in logs.
func key(task string) queue.TaskKey {
	k, err := queue.ParseTaskKey(task)
	if err != nil {
		panic(err)
	}
	return k
}

// logOf returns a log with the given events and the submission of job j at time 0.
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

// checkParts checks that a log has one job with the given parts, in seconds, and that
// the parts add up to the time that it took.
func checkParts(t *testing.T, l *Log, want map[Part]float64) {
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
	t.Run("the critical path of the slowest tasks", func(t *testing.T) {
		checkParts(t, logOf(
			runOf("j.0.0.0", 1, 1, 2, queue.OutcomeDone), runOf("j.0.0.1", 1, 1, 4, queue.OutcomeDone), runOf("j.0.1.0", 1, 4.5, 6, queue.OutcomeDone),
		), map[Part]float64{Waiting: 1.5, Working: 4.5})
	})
	t.Run("a run that failed, and the wait after it", func(t *testing.T) {
		checkParts(t, logOf(runOf("j.0.0.0", 1, 1, 2, "failed"), runOf("j.0.0.0", 2, 3, 5, queue.OutcomeDone)),
			map[Part]float64{Waiting: 1, unfinishedPrefix + "ended failed": 1, WaitingAgain: 1, Working: 2})
	})
	t.Run("a run that was stopped", func(t *testing.T) {
		stop := []Event{{Kind: Stopping, At: at(1.5), Task: key("j.0.0.0"), Run: 1, Reason: "held back"}}
		checkParts(t, logOf(runOf("j.0.0.0", 1, 0, 2, "stopped"), stop, runOf("j.0.0.0", 2, 2, 4, queue.OutcomeDone)),
			map[Part]float64{unfinishedPrefix + "was stopped: held back": 2, Working: 2})
	})
	t.Run("a run that was lost with its VM", func(t *testing.T) {
		lostRun := runOf("j.0.0.0", 1, 0, 0, "")[:1]
		checkParts(t, logOf(lostRun, runOf("j.0.0.0", 2, 6, 8, queue.OutcomeDone)),
			map[Part]float64{unfinishedPrefix + "ended with its VM": 6, Working: 2})
	})
	t.Run("a filler that was paced down", func(t *testing.T) {
		paces := []Event{
			{Kind: PaceChanged, At: at(1), Task: key("j.0.0.0"), Run: 1, Percent: 50},
			{Kind: PaceChanged, At: at(3), Task: key("j.0.0.0"), Run: 1, Percent: 100},
		}
		checkParts(t, logOf(paces, runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone)), map[Part]float64{PacedDown: 1, Working: 3})
	})
	t.Run("a copy beside the run that completed the task", func(t *testing.T) {
		checkParts(t, logOf(runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone), runOf("j.0.0.0", 2, 2, 4.5, "stopped")),
			map[Part]float64{Working: 4})
	})
	t.Run("a copy that completed the task too, later", func(t *testing.T) {
		for range 20 { // the order of the runs in the map is random
			checkParts(t, logOf(runOf("j.0.0.0", 1, 0, 4, queue.OutcomeDone), runOf("j.0.0.0", 2, 2, 4.5, queue.OutcomeDone)), map[Part]float64{Working: 4})
		}
	})
	t.Run("jobs that have not ended are left out", func(t *testing.T) {
		assert.Equal(t, len(logOf(runOf("j.0.0.0", 1, 0, 4, "failed")).Jobs()), 0)
	})
	t.Run("tasks that take no time don't loop", func(t *testing.T) {
		checkParts(t, logOf(runOf("j.0.0.0", 1, 1, 1, queue.OutcomeDone), runOf("j.0.1.0", 1, 1, 1, queue.OutcomeDone)), map[Part]float64{Waiting: 1})
	})
}
