package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

var (
	t0  = time.Unix(1000, 0)
	exp = t0.Add(time.Hour)
	key = state.ClaimKey{Service: "s", Key: "k"}
)

func checkFate(t *testing.T, m *Store, token rudderfork.Token, want wire.RequestState) {
	t.Helper()
	got, _ := m.Fence(key, token, exp, t0)
	assert.Equal(t, got, want)
}

func TestTokenRunsOnce(t *testing.T) {
	m := New()
	assert.NilError(t, m.Begin(key, 5, exp, t0))
	checkFate(t, m, 5, wire.RequestRunning)
	assert.ErrorIs(t, m.Begin(key, 5, exp, t0), ErrSeen)
	assert.ErrorIs(t, m.Begin(key, 4, exp, t0), ErrSeen)
	m.Done(key, 5, &state.Answer{Status: 200})
	fate, a := m.Fence(key, 5, exp, t0)
	assert.Equal(t, fate, wire.RequestDone)
	assert.Equal(t, a.Status, 200)
	t.Run("an older token's fate is not this one's", func(t *testing.T) { checkFate(t, m, 4, wire.RequestUnknown) })
}

func TestFence(t *testing.T) {
	m := New()
	checkFate(t, m, 5, wire.RequestNever)
	t.Run("a fenced token never runs", func(t *testing.T) {
		assert.ErrorIs(t, m.Begin(key, 5, exp, t0), ErrSeen)
	})
	t.Run("the next one does", func(t *testing.T) {
		assert.NilError(t, m.Begin(key, 6, exp, t0))
	})
	t.Run("a refusal leaves it not run", func(t *testing.T) {
		m.NotRun(key, 6)
		checkFate(t, m, 6, wire.RequestNever)
		assert.ErrorIs(t, m.Begin(key, 6, exp, t0), ErrSeen)
	})
}

func TestFull(t *testing.T) {
	m := New()
	for i := range maxClaims {
		assert.NilError(t, m.Begin(state.ClaimKey{Key: fmt.Sprint(i)}, 1, exp, t0))
	}
	assert.ErrorIs(t, m.Begin(key, 1, exp, t0), ErrFull)
	t.Run("it vouches for nothing that it cannot remember", func(t *testing.T) { checkFate(t, m, 1, wire.RequestUnknown) })
	t.Run("it forgets what has expired", func(t *testing.T) {
		assert.NilError(t, m.Begin(key, 1, exp.Add(time.Hour), exp.Add(time.Second)))
		assert.Assert(t, m.Len() < maxClaims)
	})
}

// TestBytes fills the memory with long answers: what it holds is bounded, and
// every fate is still known. (20,000 answers of 16 kB would have been 320 MB.)
func TestBytes(t *testing.T) {
	m := New()
	body := make([]byte, state.MaxAnswerBytes)
	for i := range maxClaims {
		k := state.ClaimKey{Key: fmt.Sprint(i)}
		assert.NilError(t, m.Begin(k, 1, exp, t0))
		m.Done(k, 1, &state.Answer{Status: 200, Body: body})
	}
	assert.Assert(t, m.bytes <= maxBytes)
	fate, a := m.Fence(state.ClaimKey{Key: fmt.Sprint(maxClaims - 1)}, 1, exp, t0)
	assert.Equal(t, fate, wire.RequestDone)
	assert.Assert(t, a.Partial && a.Status == 200)
	for range maxClaims {
		m.expire(exp.Add(time.Second))
	}
	assert.Equal(t, m.bytes, 0)
}
