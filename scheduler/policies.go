package scheduler

import (
	"strconv"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/settings"
)

// Policies says which optional policies are in force. With the zero value, none is.
type Policies struct {
	// RefuseJobs refuses submissions of jobs that could not end while they are worth anything.
	RefuseJobs bool
	// ShareFairly shares capacity among the origins of a queue's jobs, by ShareWeights.
	ShareFairly bool
	// ShareWeights are the weights of origins, those of others are 1.
	ShareWeights map[rudderfork.Domain]int
	// LearnSpeeds places tasks by the observed speeds of VMs.
	LearnSpeeds bool
	// KeepLearned keeps what the leader has learned for its successor.
	KeepLearned bool
}

// maxShareWeight bounds the weight of an origin.
const maxShareWeight = 1_000

// ReadPolicies reads the settings file of the policies. An empty path means none.
func ReadPolicies(path string) (p Policies, err error) {
	if path == "" {
		return p, nil
	}
	f := settings.Open(path)
	p = Policies{
		RefuseJobs:   f.Switch("admission", "refuse"),
		ShareFairly:  f.Switch("fairness", "share"),
		ShareWeights: shareWeights(f),
		LearnSpeeds:  f.Switch("speeds", "learn"),
		KeepLearned:  f.Switch("handover", "keep"),
	}
	return p, f.Err()
}

func shareWeights(f *settings.File) map[rudderfork.Domain]int {
	weights := map[rudderfork.Domain]int{}
	for _, p := range f.OptionalPairs("fairness", "weights") {
		if err := rudderfork.CheckName(p[0]); err != nil {
			f.AddError("fairness", "weights", err.Error())
			continue
		}
		n, err := strconv.Atoi(p[1])
		if err != nil || n < 1 || n > maxShareWeight {
			f.AddError("fairness", "weights", p[0]+"="+p[1]+" is not valid; want a whole number from 1 to "+strconv.Itoa(maxShareWeight))
			continue
		}
		weights[rudderfork.Domain(p[0])] = n
	}
	return weights
}
