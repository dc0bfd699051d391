package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// resize has a VM's executor say another room, in the same life.
func (w *world) resize(id rudderfork.VMID, cpu int64) {
	vm := *w.s.VM(id)
	vm.Capacity.CPUMilli = cpu
	w.apply(Command{Register: &vm})
}

// TestRoomChanges shrinks and grows the room of a VM that runs tasks.
func TestRoomChanges(t *testing.T) {
	four := one
	four.Count = 6
	w := newWorld(t, 1)
	w.submit("j1", four)
	for i := range 3 {
		assert.Assert(t, w.start(key("j1", 0, i), "vm1") > 0)
	}
	epoch := w.s.VM("vm1").Epoch
	w.resize("vm1", 2000)
	t.Run("what runs goes on, in the same epoch", func(t *testing.T) {
		assert.Equal(t, len(w.s.VM("vm1").Runs()), 3)
		assert.Equal(t, w.s.VM("vm1").Epoch, epoch)
	})
	t.Run("nothing is started over the room that is left", func(t *testing.T) {
		assert.Equal(t, w.start(key("j1", 0, 3), "vm1"), uint32(0))
		w.end(key("j1", 0, 0), "vm1", 1, OutcomeDone)
		assert.Equal(t, w.start(key("j1", 0, 3), "vm1"), uint32(0))
		w.end(key("j1", 0, 1), "vm1", 1, OutcomeDone)
		assert.Assert(t, w.start(key("j1", 0, 3), "vm1") > 0)
	})
	t.Run("room that has grown is used at once", func(t *testing.T) {
		assert.Equal(t, w.start(key("j1", 0, 4), "vm1"), uint32(0))
		w.resize("vm1", 4000)
		assert.Assert(t, w.start(key("j1", 0, 4), "vm1") > 0)
	})
}
