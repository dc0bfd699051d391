package dispatch

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// lastOfStepShare is the largest share of a step's tasks that may remain for these to
// count as the last of the step. All others are done and the job waits for these alone, so
// pacing them down delays the whole job: without this rule, that was 5.7 s of the 13.8 s
// that a job took on a busy fleet.
const lastOfStepShare = 0.15

// lastOfSteps returns, by VM, the runs of fillers that are among the last of their step.
func (p *pass) lastOfSteps(jobs []*jobState) map[rudderfork.VMID][]queue.RunKey {
	last := map[rudderfork.VMID][]queue.RunKey{}
	for _, js := range jobs {
		for vm, runs := range js.lastOfStep {
			last[vm] = append(last[vm], runs...)
		}
	}
	return last
}

// isNearlyDone reports whether the remaining tasks of a step of fillers are its last; see
// lastOfStepShare. A step of one task never is nearly done.
func (js *jobState) isNearlyDone(key queue.StepKey) bool {
	st := &js.job.Spec.Steps[key.Step]
	left := js.job.Occurrences[key.Occurrence].Remaining[key.Step]
	return st.Filler && !st.Lasting && left < st.Count && float64(left) <= max(1, lastOfStepShare*float64(st.Count))
}
