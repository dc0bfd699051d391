//go:build proof

package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// setup is what a run's schedule follows from.
type setup struct {
	seed      uint64
	machines  int
	duration  time.Duration // of the traffic
	kinds     []string
	powerLoss bool // at last all lose power, and two core machines their disks
}

// shortRun are the setups of a shortRun run: one with all kinds of faults but that of an open
// one, and one without the restarts that mend what the others may leave behind.
var shortRun = []setup{
	{66, 12, 27 * time.Second, withoutStutter, true},
	{1, 12, 27 * time.Second, []string{"disown-calls"}, false},
}

// failedSetups are the setups that have failedSetups, each with its cause. Their kinds stand here,
// since another list of kinds draws another schedule from the same seed.
var failedSetups = []struct {
	cause string
	setup setup
}{
	{"an agent without an order was not sent it again", setup{1, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"an agent without an order was not sent it again", setup{2, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"an agent without an order was not sent it again", setup{3, 12, 50 * time.Second, []string{"disown-calls"}, true}},
	{"a late second answer is taken for that of a newer call", setup{41, 12, 50 * time.Second, []string{"stutter"}, true}},
	{"a late second answer is taken for that of a newer call", setup{42, 12, 50 * time.Second, []string{"stutter"}, true}},
	{"another process had a port of the entries", setup{1011, 12, 30 * time.Second, withoutStutter, true}},
	{"a suspect of a crash is put where least runs, that is where one was just now", setup{1032, 12, 30 * time.Second, withoutStutter, true}},
	{"a task is given up after five crashes that are not its own, the fifth a loss of power", setup{3001, 12, 40 * time.Second, []string{"flap-executors"}, true}},
	{"a task is given up after five crashes that are not its own, the fifth a loss of power", setup{3003, 12, 40 * time.Second, []string{"flap-executors"}, true}},
	{"a crash says as much of a task where executors crash anyway as elsewhere", setup{6004, 6, 60 * time.Second, []string{"flap-executors"}, false}},
	{"a task is given up after five crashes of one VM, the only one with room", setup{6015, 6, 60 * time.Second, []string{"flap-executors"}, false}},
}

// withoutStutter are the kinds that were drawn from without stutter.
var withoutStutter = []string{
	"kill-cores", "kill-cores", "lose-disks", "lose-disks", "kill-all-cores", "stop-leader", "stop-leader", "stop-followers",
	"kill-agents", "kill-agents", "crash-executors", "crash-executors", "flap-executors", "flap-executors",
	"sick-executors", "sick-executors", "late-executors", "late-executors", "disown-calls", "lose-machines", "lose-machines",
}

// setups returns those that the flags ask for.
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

// selectKinds returns the kinds of a comma-separated list, or all if it is empty, but for those
// of another list.
func selectKinds(only, without string) (list []string) {
	list = faultKinds
	if only != "" {
		list = strings.Split(only, ",")
	}
	excluded := strings.Split(without, ",")
	return slices.DeleteFunc(slices.Clone(list), func(k string) bool { return slices.Contains(excluded, k) })
}
