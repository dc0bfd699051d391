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
	seed     uint64
	machines int
	length   time.Duration // of the traffic
	kinds    []string
	dark     bool // at last all lose power, and two core machines their disks
}

// short are the setups of a short run: one with all kinds of faults but that of an open
// one, and one without the restarts that mend what the others may leave behind.
var short = []setup{
	{66, 12, 27 * time.Second, withoutStutter, true},
	{1, 12, 27 * time.Second, []string{"disown-calls"}, false},
}

// failed are the setups that have failed, each with its cause. Their kinds stand here,
// since another list of kinds draws another schedule from the same seed.
var failed = []struct {
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
func setups() (us []setup) {
	if testing.Short() {
		return short
	}
	if *again {
		for _, f := range failed {
			us = append(us, f.setup)
		}
		return us
	}
	for i := range *seeds {
		us = append(us, setup{*firstSeed + uint64(i), *machines, time.Duration(*seconds) * time.Second, chosen(*only, *without), *dark})
	}
	return us
}

// chosen returns the kinds of a comma-separated list, or all if it is empty, but for those
// of another list.
func chosen(only, without string) (list []string) {
	list = kinds
	if only != "" {
		list = strings.Split(only, ",")
	}
	out := strings.Split(without, ",")
	return slices.DeleteFunc(slices.Clone(list), func(k string) bool { return slices.Contains(out, k) })
}
