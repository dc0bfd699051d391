package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// evacuate orders the evacuation of a failure domain, or revokes it.
func (w *fixture) evacuate(d rudderfork.Domain, end bool) Result {
	return w.apply(Command{Evacuate: &Evacuate{Domain: d, End: end}})
}

// setDomain moves a VM to a failure domain.
func (w *fixture) setDomain(id rudderfork.VMID, d rudderfork.Domain) {
	vm := *w.s.VM(id)
	vm.Domain = d
	assert.Equal(w.t, w.apply(Command{Register: &vm}).Code, OK)
}

func checkEvacuating(t *testing.T, s *State, want ...rudderfork.Domain) {
	t.Helper()
	assert.Equal(t, len(s.Evacuations()), len(want), "%v", s.Evacuations())
	for i, d := range want {
		assert.Equal(t, s.Evacuations()[i].Domain, d)
		assert.Assert(t, s.Evacuating(d))
	}
}

// TestEvacuation checks that nothing is started in an evacuated failure domain, however the start
// is requested, until the order is revoked.
func TestEvacuation(t *testing.T) {
	setup := func(t *testing.T) *fixture {
		w := newFixture(t, 2)
		w.setDomain("vm1", "north")
		w.setDomain("vm2", "south")
		w.submit("j", Step{Count: 3, Speculative: true}, Step{Count: 2, Gang: true})
		return w
	}
	t.Run("no start there, and others elsewhere", func(t *testing.T) {
		w := setup(t)
		assert.Equal(t, w.evacuate("north", false).Code, OK)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
		assert.Equal(t, w.start(key("j", 0, 0), "vm2"), uint32(1))
	})
	t.Run("active runs go on, and no copy is started there", func(t *testing.T) {
		w := setup(t)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(1))
		assert.Equal(t, w.start(key("j", 0, 1), "vm2"), uint32(1))
		w.evacuate("north", false)
		res := w.apply(Command{Starts: []Start{{Task: key("j", 0, 1), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation, Copy: true}}})
		assert.DeepEqual(t, res.Numbers, []uint32{0})
		assert.Assert(t, w.end(key("j", 0, 0), "vm1", 1, OutcomeDone))
	})
	t.Run("a gang that needs a VM there is not started", func(t *testing.T) {
		w := setup(t)
		w.evacuate("north", false)
		res := w.apply(Command{Starts: []Start{
			{Task: key("j", 1, 0), VM: "vm2", Incarnation: w.s.VM("vm2").Incarnation, Group: 1},
			{Task: key("j", 1, 1), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation, Group: 1},
		}})
		assert.DeepEqual(t, res.Numbers, []uint32{0, 0})
	})
	t.Run("a start decided before the order is refused", func(t *testing.T) {
		w := setup(t)
		decided := Command{Starts: []Start{{Task: key("j", 0, 0), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation}}}
		w.evacuate("north", false)
		assert.DeepEqual(t, w.apply(decided).Numbers, []uint32{0})
	})
	t.Run("a repeated order changes nothing", func(t *testing.T) {
		w := setup(t)
		w.evacuate("north", false)
		before := w.s.Evacuations()
		w.pass(1000)
		assert.Equal(t, w.evacuate("north", false).Code, OK)
		assert.DeepEqual(t, w.s.Evacuations(), before)
	})
	t.Run("an order can be revoked, also twice", func(t *testing.T) {
		w := setup(t)
		w.evacuate("north", false)
		assert.Equal(t, w.evacuate("north", true).Code, OK)
		assert.Equal(t, w.evacuate("north", true).Code, OK)
		checkEvacuating(t, w.s)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(1))
	})
	t.Run("an order survives a new document, a new VM and a snapshot", func(t *testing.T) {
		w := setup(t)
		w.evacuate("south", false)
		w.evacuate("north", false)
		w.apply(Command{Document: document(9)})
		w.register("vm3", "life-3")
		w.setDomain("vm3", "north")
		checkEvacuating(t, w.s, "north", "south")
		checkEvacuating(t, Restore(w.s.Snapshot()), "north", "south")
		assert.Equal(t, w.start(key("j", 0, 0), "vm3"), uint32(0))
	})
	t.Run("an empty name is refused", func(t *testing.T) {
		w := setup(t)
		assert.Equal(t, w.evacuate("", false).Code, Invalid)
		checkEvacuating(t, w.s)
	})
}
