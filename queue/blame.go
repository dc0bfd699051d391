package queue

import (
	"cmp"
	"slices"
)

// A poison task crashes each executor that starts it. A crash does not show which of the tasks that
// ran on the executor caused it. This file estimates for each task how likely it is a poison task,
// and fails the jobs of tasks that almost certainly are.
//
// For each task the state keeps three figures. Crashes counts the executors that crashed while the
// task ran on them. Its limit, MaxCrashes, applies even if another task may have caused the crashes.
// PromptCrashes counts those of them that crashed soon after the run was confirmed to have begun.
// Suspicion is the probability that the task is a poison task, by Bayes' rule from the ages of all
// runs at each crash and from the rate of spontaneous crashes (crashrate.go), which no task causes.
// A poison task crashes its executor soon after its start, so that a run that has just begun is a
// likelier cause than one that has run for a minute, and the likelier the more its task was
// suspected before. Task.clear resets the figures after a run that caused no crash.
const (
	// priorMilli is the prior probability, in thousandths, that a task is a poison task. A lower
	// suspicion counts as this.
	priorMilli = 2
	// maxMilli is the highest suspicion, in thousandths.
	maxMilli = 998
	// crashDelayMS is the median time from the start of a run of a poison task to the crash, ms. The
	// density of crash times falls with the square of the age, so that little depends on this value:
	// poison tasks crash their executors after some 10 ms, and the intervals of the agent's calls
	// add to that.
	crashDelayMS = 50
	// promptCrashMS is the highest age of a run, ms, at which a crash counts towards PromptCrashes.
	// Most poison tasks crash their executors sooner, including the intervals of the agent's calls.
	promptCrashMS = 100
	// spontaneousCrashMS is the prior mean time between two spontaneous crashes of an executor, ms.
	// This prior has the weight of one observed crash.
	spontaneousCrashMS = 60_000
	// provenRunMS is the age of a run, ms, that shows that its task does not crash its executors.
	// It is far above crashDelayMS, and below the run times of lasting tasks.
	provenRunMS = 10_000
	// unknownAgeMarginMS is subtracted from the age of a run that no agent has reported, ms. It
	// covers a lease, the restart of an executor, and the clock difference between two leaders.
	unknownAgeMarginMS = 15_000

	// MaxCrashes is the number of executors that have crashed while a task ran on them at which the
	// task is given up whatever its suspicion. A task is not started if one more crash could exceed
	// it (see atCrashLimit). The users require that a task is started at most twice more once three
	// executors have crashed in this way.
	MaxCrashes = 5
	// poisonMilliAfter2 and poisonMilliAfter3 are the suspicions, in thousandths, at which a task
	// is given up after two and after three prompt crashes. Higher values let a poison task crash
	// more executors, lower ones fail innocent jobs. With 13 VMs, five poison tasks and 390 jobs a
	// day, each poison task crashed 2.07 executors at 950 and 700, and one innocent job failed in
	// 20 days; at 995 and 950 it was 2.57 executors, and one innocent job in 11 days. With 30 poison
	// tasks, each crashed 2.84 and 3.32 executors respectively.
	poisonMilliAfter2 = 950
	poisonMilliAfter3 = 700

	// SuspectMilli is the suspicion, in thousandths, from which on a task is a suspect, which runs
	// apart from other suspects until it is cleared: ten times the prior.
	SuspectMilli = 20
)

// Suspect reports whether the task is more likely than others to crash its executors.
func (t *Task) Suspect() bool { return t.Suspicion >= SuspectMilli }

// prior returns the probability that the task is a poison task before a further crash is taken into
// account, in thousandths.
func (t *Task) prior() int64 { return max(priorMilli, min(maxMilli, int64(t.Suspicion))) }

// isPoison reports whether the task must be given up.
func (t *Task) isPoison() bool {
	switch {
	case t.Crashes >= MaxCrashes:
		return true
	case t.PromptCrashes >= 3:
		return t.Suspicion >= poisonMilliAfter3
	case t.PromptCrashes >= 2:
		return t.Suspicion >= poisonMilliAfter2
	}
	return false
}

// clear resets the crash counts of the task and the suspicion against it. Unresolved losses stay.
func (t *Task) clear() { t.Crashes, t.PromptCrashes, t.Suspicion = 0, 0, 0 }

// clearProven clears the tasks of runs that are at least provenRunMS old, which shows that they do
// not crash their executors.
func (s *State) clearProven(list []RunAge) {
	for _, r := range list {
		if t := s.openTask(r.Task); t != nil && r.AgeMS >= provenRunMS {
			t.clear()
		}
	}
}

// countCrash counts a crash against the tasks of runs. It leaves out runs that are at least
// provenRunMS old and, if an agent reported the ages, runs of lasting tasks that are no suspects:
// a lasting task runs for so long that it would collect every spontaneous crash of its executors.
func (s *State) countCrash(list []RunAge, agesKnown bool) {
	for _, r := range list {
		t := s.openTask(r.Task)
		if t == nil || r.AgeMS >= provenRunMS || agesKnown && s.isLasting(r.Task) && !t.Suspect() {
			continue
		}
		t.Crashes++
		if r.Confirmed && r.AgeMS <= promptCrashMS {
			t.PromptCrashes++
		}
	}
}

func (s *State) isLasting(k TaskKey) bool { return s.jobs[k.Job].Spec.Steps[k.Step].Lasting }

// updateSuspicion updates the suspicion against the tasks of the runs at a crash on a VM. It becomes
// the probability that the task caused the crash, rather than another task or a spontaneous crash.
// It returns the probability of a spontaneous crash, in thousandths.
func (s *State) updateSuspicion(vm *VM, list []RunAge) (spontaneousMilli int64) {
	spontaneous := vm.Crashes.weight(s.base.weight(), s.clock.NowMS)
	total := spontaneous
	weights := make([]int64, len(list))
	for i, r := range list {
		t := s.openTask(r.Task)
		if t == nil {
			continue
		}
		delay := max(0, r.AgeMS) + crashDelayMS
		p := t.prior()
		// The odds that the task is a poison task, times the density of the crash times of poison
		// tasks at the age of the run.
		weights[i] = p * weightScale / (1000 - p) / delay * crashDelayMS / delay
		total += weights[i]
	}
	spontaneousMilli = 1000 * spontaneous / total
	s.base.addCrash(spontaneousMilli)
	for i, r := range list {
		t := s.openTask(r.Task)
		if t == nil {
			continue
		}
		// The suspicion does not fall below the prior times the probability that a poison task runs
		// for so long without a crash.
		survived := t.prior() * crashDelayMS / (max(0, r.AgeMS) + crashDelayMS)
		t.Suspicion = int(min(maxMilli, max(1000*weights[i]/total, survived)))
	}
	return spontaneousMilli
}

// weightScale is the unit of weights: weightScale stands for one crash per ms.
const weightScale = 1_000_000_000_000

// BaseRate is the observed rate of spontaneous crashes over all VMs.
type BaseRate struct {
	CrashesMilli int64 `cbor:"1,keyasint,omitempty"` // sum of the probabilities that the observed crashes were spontaneous, in thousandths
	ObservedMS   int64 `cbor:"2,keyasint,omitempty"` // observed time, ms, summed over the VMs
}

// weight returns the rate of spontaneous crashes of one executor, in units of 1/weightScale per ms.
// It is never 0.
func (b *BaseRate) weight() int64 {
	return max(1, (1000+b.CrashesMilli)*(weightScale/1000)/(spontaneousCrashMS+b.ObservedMS))
}

// addCrash counts a crash that was spontaneous with a probability of milli thousandths.
func (b *BaseRate) addCrash(milli int64) { b.CrashesMilli += milli }

// addObserved adds ms of observed time for each of a number of VMs.
func (b *BaseRate) addObserved(ms int64, vms int) { b.ObservedMS += ms * int64(vms) }

// openTask returns a task that is not done and whose job is not final, or nil.
func (s *State) openTask(k TaskKey) *Task {
	j := s.jobs[k.Job]
	if j == nil || j.Status.Final() {
		return nil
	}
	t := j.Task(k)
	if t == nil || t.Done {
		return nil
	}
	return t
}

// failPoisonTasks fails the jobs of the poison tasks among the tasks of runs. It returns an
// Assessment of each of the tasks that may still run, the most suspected first.
func (s *State) failPoisonTasks(list []RunAge, at int64) (found []Assessment) {
	for _, r := range list {
		t := s.openTask(r.Task)
		if t == nil {
			continue
		}
		j := s.jobs[r.Task.Job]
		j.changes++
		s.markVMsChanged(t)
		poison := t.isPoison()
		found = append(found, Assessment{Task: r.Task, Run: r.Run, AgeMS: r.AgeMS, Crashes: t.Crashes, Suspicion: t.Suspicion, GivenUp: poison})
		if poison {
			s.finish(j, Failed, at)
		}
	}
	slices.SortStableFunc(found, func(a, b Assessment) int { return cmp.Compare(b.Suspicion, a.Suspicion) })
	return found
}

// markVMsChanged marks the VMs of a task's runs as changed, since readers of a VM also read the
// suspicion against its tasks.
func (s *State) markVMsChanged(t *Task) {
	for _, r := range t.Runs {
		s.vms[r.VM].changes++
	}
}

// clearIfProven clears the task if the end of a run that an executor reports shows that the task does
// not crash its executors: the run was done or failed, or lasted at least provenRunMS.
func (t *Task) clearIfProven(outcome Outcome, tookMS int64) {
	if outcome == OutcomeDone || outcome == OutcomeFailed || tookMS >= provenRunMS {
		t.clear()
	}
}

// Assessment is the suspicion against a task after a crash.
type Assessment struct {
	Task      TaskKey
	Run       uint32
	AgeMS     int64 // age of the run when the executor was first found not to answer, ms
	Crashes   int
	Suspicion int  // thousandths
	GivenUp   bool // its job has failed because of it
}

// atCrashLimit reports whether one more run could exceed MaxCrashes if all active runs and all
// unresolved losses turn out to be crashes. For a lasting task only those losses count whose
// executor did not answer according to an agent, since the users go without the task as long as it
// is not started.
func (t *Task) atCrashLimit(lasting bool) bool {
	losses := t.UnresolvedLosses
	if lasting {
		losses = t.UnresolvedSilent
	}
	return t.Crashes+losses+len(t.Runs) >= MaxCrashes
}
