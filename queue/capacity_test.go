package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// resize registers another capacity of a VM, with the same incarnation.
func (w *fixture) resize(id rudderfork.VMID, cpu int64) {
	vm := *w.s.VM(id)
	vm.Capacity.CPUMilli = cpu
	w.apply(Command{Register: &vm})
}

// TestCapacityChanges checks that a VM that runs tasks may shrink and grow.
func TestCapacityChanges(t *testing.T) {
	six := one
	six.Count = 6
	w := newFixture(t, 1)
	w.submit("j1", six)
	for i := range 3 {
		assert.Assert(t, w.start(key("j1", 0, i), "vm1") > 0)
	}
	epoch := w.s.VM("vm1").Epoch
	w.resize("vm1", 2000)
	t.Run("active runs go on in the same epoch", func(t *testing.T) {
		assert.Equal(t, len(w.s.VM("vm1").Runs()), 3)
		assert.Equal(t, w.s.VM("vm1").Epoch, epoch)
	})
	t.Run("nothing is started beyond the capacity", func(t *testing.T) {
		assert.Equal(t, w.start(key("j1", 0, 3), "vm1"), uint32(0))
		w.end(key("j1", 0, 0), "vm1", 1, OutcomeDone)
		assert.Equal(t, w.start(key("j1", 0, 3), "vm1"), uint32(0))
		w.end(key("j1", 0, 1), "vm1", 1, OutcomeDone)
		assert.Assert(t, w.start(key("j1", 0, 3), "vm1") > 0)
	})
	t.Run("added capacity is used at once", func(t *testing.T) {
		assert.Equal(t, w.start(key("j1", 0, 4), "vm1"), uint32(0))
		w.resize("vm1", 4000)
		assert.Assert(t, w.start(key("j1", 0, 4), "vm1") > 0)
	})
}
