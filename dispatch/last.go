package dispatch

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// lastShare is the part of a step's tasks that may be left for these to be its last:
// the rest is done, and the job waits for them alone. (Of the time of 206 rosters of a
// heavy day, 5.7 of 13.8 s went by while the task that ended their step was paced down;
// the mean task lost 0.5 s to that.)
const lastOfStepShare = 0.15

// lastOfSteps returns the runs of fillers that the other tasks of their step wait for.
func (p *pass) lastOfSteps(jobs []*jobState) map[rudderfork.VMID][]queue.RunKey {
	last := map[rudderfork.VMID][]queue.RunKey{}
	for _, n := range jobs {
		for vm, runs := range n.lastOfStep {
			last[vm] = append(last[vm], runs...)
		}
	}
	return last
}

// isLast reports whether few tasks of a step of fillers are left, beside many that are
// done.
func (n *jobState) isNearlyDone(key queue.StepKey) bool {
	st := &n.job.Spec.Steps[key.Step]
	left := n.job.Occurrences[key.Occurrence].Left[key.Step]
	return st.Filler && !st.Lasting && left < st.Count && float64(left) <= max(1, lastOfStepShare*float64(st.Count))
}
