package scheduler

import (
	"fmt"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// incarnationEnd says how the leader knows that an incarnation of a VM's executor has ended. The
// values are labels of metrics and log values.
type incarnationEnd string

// Values of incarnationEnd.
const (
	incarnationReplaced incarnationEnd = "replaced" // a new incarnation has registered
	incarnationExpired  incarnationEnd = "lapsed"   // its lease expired
	incarnationDeparted incarnationEnd = "left"     // it gave a shutdown notice
)

// maxLostRunsLogged bounds the runs that one log line names.
const maxLostRunsLogged = 16

// logLostRuns logs the runs that ended with an incarnation of a VM's executor. If the executor
// crashed, one of them may be the cause.
func (s *Scheduler) logLostRuns(vm rudderfork.VMID, how incarnationEnd, res queue.Result) {
	s.logAssessments(vm, res.Assessments)
	lost := res.LostRuns
	if len(lost) == 0 {
		return
	}
	s.met.lostRuns.WithLabelValues(string(how)).Add(float64(len(lost)))
	names := zerolog.Arr()
	for _, r := range lost[:min(len(lost), maxLostRunsLogged)] {
		names.Str(r.Task.Run(r.Run).String())
	}
	s.log.Info().Str("on", string(vm)).Str("life_end", string(how)).Int("count", len(lost)).Array("runs", names).Msg("runs_gone")
	for _, r := range lost {
		s.record("task_ended", r.Task.String(), "on "+string(vm)+": gone with its executor, which was "+string(how))
	}
}

// logAssessments logs the tasks that are suspected of having caused a crash, and those that are
// given up because of it.
func (s *Scheduler) logAssessments(vm rudderfork.VMID, list []queue.Assessment) {
	for _, a := range list {
		if a.Suspicion < queue.SuspectMilli && !a.GivenUp {
			continue
		}
		event := "task_suspected"
		if a.GivenUp {
			event = "task_given_up"
			s.met.givenUp.Inc()
		}
		s.met.suspected.Inc()
		s.log.Info().Str("task", a.Task.String()).Uint32("run", a.Run).Str("on", string(vm)).Int64("age_ms", a.AgeMS).
			Int("crashes", a.Crashes).Int("suspicion_mille", a.Suspicion).Int("beside", len(list)-1).Msg(event)
		s.record(event, a.Task.String(), fmt.Sprintf("the executor of %s crashed %d ms into run %d, beside %d others: %d crashes, suspicion %d of 1000",
			vm, a.AgeMS, a.Run, len(list)-1, a.Crashes, a.Suspicion))
	}
}
