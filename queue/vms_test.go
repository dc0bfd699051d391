package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// TestVMs checks that VMs are listed by ID, each as it last registered, whatever the order of
// registration and after a snapshot.
func TestVMs(t *testing.T) {
	s := New()
	for i, id := range []rudderfork.VMID{"c", "a", "b", "a", "c"} {
		s.Apply(Command{Register: &VM{ID: id, Incarnation: string(id) + string(rune('0'+i))}}, 1)
	}
	incarnations := func(s *State) (list []string) {
		for _, vm := range s.VMs() {
			assert.Equal(t, s.VM(vm.ID), vm)
			list = append(list, vm.Incarnation)
		}
		return list
	}
	want := []string{"a3", "b2", "c4"}
	assert.DeepEqual(t, incarnations(s), want)
	restored := Restore(s.Snapshot())
	assert.DeepEqual(t, incarnations(restored), want)
}
