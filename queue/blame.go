package queue

import (
	"cmp"
	"slices"
)

// A task may crash each executor that starts it. Nothing tells which of the tasks that
// ran on an executor crashed it; this file keeps, for each task, how likely it is the
// one, and gives up those that surely are.
//
// Of a task it is kept how many executors crashed under it with no run between them
// that went well, and on how many of these its run was seen to begin just before: the
// former bounds what a task can do, whoever is to blame. Suspicion is the probability
// that the task crashes its executors, by Bayes' rule from the ages of all runs at each
// crash and from how often the executor crashes anyway (crashrate.go): such a task does
// it soon after its start, so that of a run that has just begun and one that has run for
// a minute the former is the likelier cause, and a task that was suspected before more so.
const (
	// priorMilli is the part, in thousandths, of tasks that are taken to crash their
	// executors before anything was seen of them.
	priorMilli = 2
	// maxMilli bounds what is believed either way, in thousandths.
	maxMilli = 998
	// crashDelayMS is how long after its start a task that crashes its executor does so, in
	// the median, ms. The density falls with the square of the age, so that little
	// depends on this figure: 10 ms were seen, on which the steps of an agent's calls
	// are laid.
	crashDelayMS = 50
	// promptCrashMS is how long after its start a run may be lost in a crash that bears witness
	// against its task, ms: most poison tasks crash their executors sooner, the steps of an
	// agent's calls included.
	promptCrashMS = 100
	// spontaneousCrashMS is the mean time between two crashes of an executor that no task is to
	// blame for, ms, before any was seen; it counts as much as one that was.
	spontaneousCrashMS = 60_000
	// provenRunMS is how long a run must have been at work to show that its task does not
	// crash what starts it: far above delayMS, and below what lasting tasks run.
	provenRunMS = 10_000
	// unknownAgeMarginMS is taken off the age of a run that nobody has told the age of: a lease,
	// an executor's return, and the steps of clocks between two leaders.
	unknownAgeMarginMS = 15_000

	// MaxCrashes is how many executors may crash under a task, or may yet, before it
	// is given up whatever it is suspected of: once three have, it is started twice
	// more at most (the users' pages).
	MaxCrashes = 5
	// poisonMilliAfter2 and thriceMille are the suspicions, in thousandths, at which a task is
	// given up after two and after three crashes. (In modelled days of 13 VMs with five
	// poison tasks, each took 2.07 executors down, and one innocent job of 390 a day was
	// given up in 20 days; 2.57 and one in 11 days at 995 and 950. With 30 poison tasks
	// 2.84 and 3.32. bench -only crashes.)
	poisonMilliAfter2 = 950
	poisonMilliAfter3 = 700

	// SuspectMilli is the suspicion, in thousandths, from which on a task is a suspect,
	// which runs apart from other suspects until it is cleared: ten times the prior.
	SuspectMilli = 20
)

// Suspect reports whether the task is likelier than others to crash its executors.
func (t *Task) Suspect() bool { return t.Suspicion >= SuspectMilli }

// prior is the probability, in thousandths, before the next crash.
func (t *Task) prior() int64 { return max(priorMilli, min(maxMilli, int64(t.Suspicion))) }

// isPoison reports whether the task is to be given up.
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

// clearSuspicion takes back all that the task was suspected of, but for what is open yet.
func (t *Task) clearSuspicion() { t.Crashes, t.PromptCrashes, t.Suspicion = 0, 0, 0 }

// clearProven clears the tasks of runs that had been at work for long: they show that their
// tasks do not crash what starts them.
func (s *State) clearProven(list []RunAge) {
	for _, r := range list {
		if t := s.openTask(r.Task); t != nil && r.AgeMS >= provenRunMS {
			t.clearSuspicion()
		}
	}
}

// countCrash counts a crash under runs, but for those that had been at work for long, and
// for those of lasting tasks that are hardly to blame, where the ages are told: a task that
// lasts meets every executor that crashes by itself sooner or later.
func (s *State) countCrash(list []RunAge, told bool) {
	for _, r := range list {
		t := s.openTask(r.Task)
		if t == nil || r.AgeMS >= provenRunMS || told && s.isLasting(r.Task) && !t.Suspect() {
			continue
		}
		t.Crashes++
		if r.Confirmed && r.AgeMS <= promptCrashMS {
			t.PromptCrashes++
		}
	}
}

func (s *State) isLasting(k TaskKey) bool { return s.jobs[k.Job].Spec.Steps[k.Step].Lasting }

// updateSuspicion renews what the tasks of the runs at a crash on a VM are suspected of: for each
// the probability that it was the cause, against the others and against a crash that no
// task caused, whose probability it returns in thousandths.
func (s *State) updateSuspicion(vm *VM, list []RunAge) (ordinaryMille int64) {
	ordinary := vm.Crashes.weight(s.base.weight(), s.clock.NowMS)
	total := ordinary
	weights := make([]int64, len(list))
	for i, r := range list {
		t := s.openTask(r.Task)
		if t == nil {
			continue
		}
		late := max(0, r.AgeMS) + crashDelayMS
		p := t.prior()
		weights[i] = p * weightScale / (1000 - p) / late * crashDelayMS / late
		total += weights[i]
	}
	ordinaryMille = 1000 * ordinary / total
	s.base.addCrash(ordinaryMille)
	for i, r := range list {
		t := s.openTask(r.Task)
		if t == nil {
			continue
		}
		// Where another one was the cause, this one has at least lived so long.
		lived := t.prior() * crashDelayMS / (max(0, r.AgeMS) + crashDelayMS)
		t.Suspicion = int(min(maxMilli, max(1000*weights[i]/total, lived)))
	}
	return ordinaryMille
}

// weightScale is the unit of weights: one a millisecond.
const weightScale = 1_000_000_000_000

// BaseRate is how often executors crash that no task is to blame for.
type BaseRate struct {
	CrashesMilli int64 `cbor:"1,keyasint,omitempty"` // crashes, in thousandths, as far as no task was their likely cause
	ObservedMS   int64 `cbor:"2,keyasint,omitempty"` // for how long VMs were watched, ms, summed up over them
}

// weight is the rate at which one executor crashes, and never 0.
func (b *BaseRate) weight() int64 {
	return max(1, (1000+b.CrashesMilli)*(weightScale/1000)/(spontaneousCrashMS+b.ObservedMS))
}

// addCrash counts a crash that no task caused, with a probability in thousandths.
func (b *BaseRate) addCrash(mille int64) { b.CrashesMilli += mille }

// addObserved counts time, ms, for which VMs were watched.
func (b *BaseRate) addObserved(ms int64, vms int) { b.ObservedMS += ms * int64(vms) }

// openTask returns a task that may still run, or nil.
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

// failPoisonTasks fails the jobs of the poison tasks among the tasks of runs, and tells what all of
// them are suspected of.
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

// markVMsChanged notes a change at the VMs of a task's runs, which are read with what it is
// suspected of.
func (s *State) markVMsChanged(t *Task) {
	for _, r := range t.Runs {
		s.vms[r.VM].changes++
	}
}

// recordEnd draws on an end that an executor has listed: it lives.
func (t *Task) recordEnd(how Outcome, tookMS int64) {
	if how == OutcomeDone || how == OutcomeFailed || tookMS >= provenRunMS {
		t.clearSuspicion()
	}
}

// Assessment is what a task is suspected of after a crash.
type Assessment struct {
	Task      TaskKey
	Run       uint32
	AgeMS     int64 // of the run, when the executor was found silent
	Crashes   int
	Suspicion int  // thousandths
	GivenUp   bool // its job has failed for it
}

// atCrashLimit reports whether one more run of the task might be one too many, should
// those that are active crash their executors too, and those in doubt have done so. A task
// that lasts waits only for what agents have told: its users are without it meanwhile.
func (t *Task) atCrashLimit(lasting bool) bool {
	doubts := t.UnresolvedLosses
	if lasting {
		doubts = t.UnresolvedSilent
	}
	return t.Crashes+doubts+len(t.Runs) >= MaxCrashes
}
