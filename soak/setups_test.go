//go:build proof

package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// setup determines the schedule of a run.
type setup struct {
	seed      uint64
	machines  int
	duration  time.Duration // of the traffic
	kinds     []string      // kinds of faults that are drawn
	powerLoss bool          // end with a power loss in which two core machines lose their disks
}

// shortRun holds the setups of a short run: one with all kinds of faults but stutter,
// which still has an open failure, and one without restarts, since a restart can repair
// the state that other faults leave behind.
var shortRun = []setup{
	{66, 12, 27 * time.Second, withoutStutter, true},
	{1, 12, 27 * time.Second, []string{"disown-calls"}, false},
}

// failedSetups holds the setups that have failed, each with the cause. They name their
// kinds of faults, since another list draws another schedule from the same seed.
var failedSetups = []struct {
	cause string
	setup setup
}{
	{"an order that an agent lacked was not sent again", setup{1, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"an order that an agent lacked was not sent again", setup{2, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"an order that an agent lacked was not sent again", setup{3, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"a late duplicate answer is taken for the answer to a newer call", setup{41, 12, 50 * time.Second, []string{"stutter"}, true}},
	{"a late duplicate answer is taken for the answer to a newer call", setup{42, 12, 50 * time.Second, []string{"stutter"}, true}},
	{"a port of the entries was in use by another process", setup{1011, 12, 30 * time.Second, withoutStutter, true}},
	{"a task suspected of a crash is placed on the VM with the fewest runs, which is the one that has just crashed", setup{1032, 12, 30 * time.Second, withoutStutter, true}},
	{"a task is given up after five crashes that it did not cause, the fifth a power loss", setup{3001, 12, 40 * time.Second, []string{"flap-executors"}, true}},
	{"a task is given up after five crashes that it did not cause, the fifth a power loss", setup{3003, 12, 40 * time.Second, []string{"flap-executors"}, true}},
	{"a crash of an executor that crashes often counts as much against a task as other crashes", setup{6004, 6, 60 * time.Second, []string{"flap-executors"}, false}},
	{"a task is given up after five crashes of one VM, the only one with free capacity", setup{6015, 6, 60 * time.Second, []string{"flap-executors"}, false}},
}

// withoutStutter lists all kinds of faults but stutter.
var withoutStutter = []string{
	"kill-cores", "kill-cores", "lose-disks", "lose-disks", "kill-all-cores", "stop-leader", "stop-leader", "stop-followers",
	"kill-agents", "kill-agents", "crash-executors", "crash-executors", "flap-executors", "flap-executors",
	"sick-executors", "sick-executors", "late-executors", "late-executors", "disown-calls", "lose-machines", "lose-machines",
}

// setups returns the setups that the flags select.
func setups() (list []setup) {
	if testing.Short() {
		return shortRun
	}
	if *rerunFailed {
		for _, f := range failedSetups {
			list = append(list, f.setup)
		}
		return list
	}
	for i := range *seedCount {
		list = append(list, setup{*firstSeed + uint64(i), *machineCount, time.Duration(*trafficSeconds) * time.Second, selectKinds(*onlyKinds, *excludedKinds), *endWithPowerLoss})
	}
	return list
}

// selectKinds returns the kinds in the comma-separated list only, or all kinds if it is
// empty, except those in the list without.
func selectKinds(only, without string) (list []string) {
	list = faultKinds
	if only != "" {
		list = strings.Split(only, ",")
	}
	excluded := strings.Split(without, ",")
	return slices.DeleteFunc(slices.Clone(list), func(k string) bool { return slices.Contains(excluded, k) })
}
