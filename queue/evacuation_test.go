package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// evacuate orders the evacuation of a failure domain, or takes it back.
func (w *world) evacuate(d rudderfork.Domain, end bool) Result {
	return w.apply(Command{Evacuate: &Evacuate{Domain: d, End: end}})
}

// settle puts a VM into a failure domain.
func (w *world) settle(id rudderfork.VMID, d rudderfork.Domain) {
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

// TestEvacuation holds that nothing is started in a failure domain from the order on, in
// whatever way a start is asked for, and until it is taken back.
func TestEvacuation(t *testing.T) {
	begin := func(t *testing.T) *world {
		w := newWorld(t, 2)
		w.settle("vm1", "north")
		w.settle("vm2", "south")
		w.submit("j", Step{Count: 3, Speculative: true}, Step{Count: 2, Gang: true})
		return w
	}
	t.Run("no start there, and others elsewhere", func(t *testing.T) {
		w := begin(t)
		assert.Equal(t, w.evacuate("north", false).Code, OK)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(0))
		assert.Equal(t, w.start(key("j", 0, 0), "vm2"), uint32(1))
	})
	t.Run("what runs there runs on, and no copy joins it there", func(t *testing.T) {
		w := begin(t)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(1))
		assert.Equal(t, w.start(key("j", 0, 1), "vm2"), uint32(1))
		w.evacuate("north", false)
		res := w.apply(Command{Starts: []Start{{Task: key("j", 0, 1), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation, Copy: true}}})
		assert.DeepEqual(t, res.Numbers, []uint32{0})
		assert.Assert(t, w.end(key("j", 0, 0), "vm1", 1, OutcomeDone))
	})
	t.Run("a gang that needs a VM there does not begin", func(t *testing.T) {
		w := begin(t)
		w.evacuate("north", false)
		res := w.apply(Command{Starts: []Start{
			{Task: key("j", 1, 0), VM: "vm2", Incarnation: w.s.VM("vm2").Incarnation, Group: 1},
			{Task: key("j", 1, 1), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation, Group: 1},
		}})
		assert.DeepEqual(t, res.Numbers, []uint32{0, 0})
	})
	t.Run("a start that was decided before is refused after", func(t *testing.T) {
		w := begin(t)
		decided := Command{Starts: []Start{{Task: key("j", 0, 0), VM: "vm1", Incarnation: w.s.VM("vm1").Incarnation}}}
		w.evacuate("north", false)
		assert.DeepEqual(t, w.apply(decided).Numbers, []uint32{0})
	})
	t.Run("repeated it changes nothing", func(t *testing.T) {
		w := begin(t)
		w.evacuate("north", false)
		before := w.s.Evacuations()
		w.pass(1000)
		assert.Equal(t, w.evacuate("north", false).Code, OK)
		assert.DeepEqual(t, w.s.Evacuations(), before)
	})
	t.Run("taken back, also twice, it holds no more", func(t *testing.T) {
		w := begin(t)
		w.evacuate("north", false)
		assert.Equal(t, w.evacuate("north", true).Code, OK)
		assert.Equal(t, w.evacuate("north", true).Code, OK)
		checkEvacuating(t, w.s)
		assert.Equal(t, w.start(key("j", 0, 0), "vm1"), uint32(1))
	})
	t.Run("it outlives a document, another life there and a snapshot", func(t *testing.T) {
		w := begin(t)
		w.evacuate("south", false)
		w.evacuate("north", false)
		w.apply(Command{Document: document(9)})
		w.register("vm3", "life-3")
		w.settle("vm3", "north")
		checkEvacuating(t, w.s, "north", "south")
		checkEvacuating(t, Restore(w.s.Image()), "north", "south")
		assert.Equal(t, w.start(key("j", 0, 0), "vm3"), uint32(0))
	})
	t.Run("one without a name is refused", func(t *testing.T) {
		w := begin(t)
		assert.Equal(t, w.evacuate("", false).Code, Invalid)
		checkEvacuating(t, w.s)
	})
}
