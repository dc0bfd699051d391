package queue

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestLearned guards against the loss of what a leader has kept for its successor, and against a
// record that fills the disks.
func TestLearned(t *testing.T) {
	w := newFixture(t, 1)
	assert.Equal(t, w.apply(Command{Learned: []byte("first")}).Code, OK)
	assert.Equal(t, w.apply(Command{Learned: []byte("second")}).Code, OK)
	assert.Equal(t, w.apply(Command{Learned: make([]byte, MaxLearned+1)}).Code, Invalid)
	assert.Equal(t, string(w.s.Learned()), "second")
	w.restore()
	assert.Equal(t, string(w.s.Learned()), "second")
}

// TestOrigin guards against a job's origin that changes with a repeated submission or is lost with
// a snapshot, and against records of earlier releases, which have none.
func TestOrigin(t *testing.T) {
	w := newFixture(t, 1)
	submit := Submit{Host: testHost, Path: "/holds/a", Spec: Spec{Steps: []Step{{Count: 1}}}, Origin: "north"}
	assert.Equal(t, w.apply(Command{Submit: &submit}).Code, OK)
	repeat := submit
	repeat.Origin = "south"
	assert.Equal(t, w.apply(Command{Submit: &repeat}).Code, OK)
	w.restore()
	assert.Equal(t, w.s.Job("a").Origin, "north")

	// The keys of the release without an origin.
	data, err := cbor.Marshal(map[int]any{1: testHost, 2: "/holds/b", 3: submit.Spec, 4: 0})
	assert.NilError(t, err)
	var earlier Submit
	assert.NilError(t, cbor.Unmarshal(data, &earlier))
	assert.Equal(t, w.apply(Command{Submit: &earlier}).Code, OK)
	assert.Equal(t, w.s.Job("b").Origin, "")
}
