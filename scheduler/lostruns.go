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

// logLostRuns logs the runs that ended with an incarnation of a VM's executor. If it crashed,
// one of them may be the cause.
func (s *Scheduler) logLostRuns(vm rudderfork.VMID, how incarnationEnd, res queue.Result) {
	s.logAssessments(vm, res.Assessments)
	lost := res.LostRuns
	if len(lost) == 0 {
		return
	}
	s.met.lostRuns.WithLabelValues(string(how)).Add(float64(len(lost)))
	names := zerolog.Arr()
	for _, g := range lost[:min(len(lost), maxLostRunsLogged)] {
		names.Str(g.Task.Run(g.Run).String())
	}
	s.log.Info().Str("on", string(vm)).Str("life_end", string(how)).Int("count", len(lost)).Array("runs", names).Msg("runs_gone")
	for _, g := range lost {
		s.record("task_ended", g.Task.String(), "on "+string(vm)+": gone with its executor, which was "+string(how))
	}
}

// logAssessments logs the tasks that are suspected of a crash, and those that are given up for
// it.
func (s *Scheduler) logAssessments(vm rudderfork.VMID, list []queue.Assessment) {
	for _, v := range list {
		if v.Suspicion < queue.SuspectMilli && !v.GivenUp {
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
