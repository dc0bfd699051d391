package scheduler

import (
	"fmt"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// incarnationEnd says how the leader knows that a life of a VM's executor is over.
type incarnationEnd string

// The ways.
const (
	incarnationReplaced incarnationEnd = "replaced" // another one describes itself
	incarnationExpired  incarnationEnd = "lapsed"   // its lease ran out
	incarnationDeparted incarnationEnd = "left"     // it said farewell
)

// maxGoneLogged bounds the runs that one line names.
const maxGoneLogged = 16

// logGone logs the runs that ended with a life of a VM's executor: what ran there
// is all that can be blamed for a crash.
func (s *Scheduler) logGone(vm rudderfork.VMID, how incarnationEnd, res queue.Result) {
	s.logAssessments(vm, res.Assessments)
	gone := res.LostRuns
	if len(gone) == 0 {
		return
	}
	s.met.gone.WithLabelValues(string(how)).Add(float64(len(gone)))
	names := zerolog.Arr()
	for _, g := range gone[:min(len(gone), maxGoneLogged)] {
		names.Str(g.Task.Run(g.Run).String())
	}
	s.log.Info().Str("on", string(vm)).Str("life_end", string(how)).Int("count", len(gone)).Array("runs", names).Msg("runs_gone")
	for _, g := range gone {
		s.record("task_ended", g.Task.String(), "on "+string(vm)+": gone with its executor, which was "+string(how))
	}
}

// logAssessments logs whom a crash is laid to: the suspects, and the tasks that are
// given up for it.
func (s *Scheduler) logAssessments(vm rudderfork.VMID, list []queue.Assessment) {
	for _, v := range list {
		if v.Suspicion < queue.SuspectMille && !v.GivenUp {
			continue
		}
		event := "task_suspected"
		if v.GivenUp {
			event = "task_given_up"
			s.met.givenUp.Inc()
		}
		s.met.suspected.Inc()
		s.log.Info().Str("task", v.Task.String()).Uint32("run", v.Run).Str("on", string(vm)).Int64("age_ms", v.AgeMS).
			Int("crashes", v.Crashes).Int("suspicion_mille", v.Suspicion).Int("beside", len(list)-1).Msg(event)
		s.record(event, v.Task.String(), fmt.Sprintf("the executor of %s crashed %d ms into run %d, beside %d others: %d crashes, suspicion %d of 1000",
			vm, v.AgeMS, v.Run, len(list)-1, v.Crashes, v.Suspicion))
	}
}
