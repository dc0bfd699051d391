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

func checkState(t *testing.T, s *Store, token rudderfork.Token, want wire.RequestState) {
	t.Helper()
	got, _ := s.Fence(key, token, exp, t0)
	assert.Equal(t, got, want)
}

func TestTokenRunsOnce(t *testing.T) {
	s := New()
	assert.NilError(t, s.Begin(key, 5, exp, t0))
	checkState(t, s, 5, wire.RequestRunning)
	assert.ErrorIs(t, s.Begin(key, 5, exp, t0), ErrSeen)
	assert.ErrorIs(t, s.Begin(key, 4, exp, t0), ErrSeen)
	s.Done(key, 5, &state.Answer{Status: 200})
	got, a := s.Fence(key, 5, exp, t0)
	assert.Equal(t, got, wire.RequestDone)
	assert.Equal(t, a.Status, 200)
	t.Run("the state of an older token is unknown", func(t *testing.T) { checkState(t, s, 4, wire.RequestUnknown) })
}

func TestFence(t *testing.T) {
	s := New()
	checkState(t, s, 5, wire.RequestNever)
	t.Run("a fenced-off token never runs", func(t *testing.T) {
		assert.ErrorIs(t, s.Begin(key, 5, exp, t0), ErrSeen)
	})
	t.Run("the next token runs", func(t *testing.T) {
		assert.NilError(t, s.Begin(key, 6, exp, t0))
	})
	t.Run("a refused request has not run", func(t *testing.T) {
		s.NotRun(key, 6)
		checkState(t, s, 6, wire.RequestNever)
		assert.ErrorIs(t, s.Begin(key, 6, exp, t0), ErrSeen)
	})
}

func TestFull(t *testing.T) {
	s := New()
	for i := range maxClaims {
		assert.NilError(t, s.Begin(state.ClaimKey{Key: fmt.Sprint(i)}, 1, exp, t0))
	}
	assert.ErrorIs(t, s.Begin(key, 1, exp, t0), ErrFull)
	t.Run("a token whose fence cannot be stored is unknown", func(t *testing.T) { checkState(t, s, 1, wire.RequestUnknown) })
	t.Run("expired claims make room", func(t *testing.T) {
		assert.NilError(t, s.Begin(key, 1, exp.Add(time.Hour), exp.Add(time.Second)))
		assert.Assert(t, s.Len() < maxClaims)
	})
}

// TestBodiesAreBounded guards against a store that takes 320 MB, for 20,000 answers
// of 16 kB. Their bodies are left out above a bound, but their states are kept.
func TestBodiesAreBounded(t *testing.T) {
	s := New()
	body := make([]byte, state.MaxAnswerBytes)
	for i := range maxClaims {
		k := state.ClaimKey{Key: fmt.Sprint(i)}
		assert.NilError(t, s.Begin(k, 1, exp, t0))
		s.Done(k, 1, &state.Answer{Status: 200, Body: body})
	}
	assert.Assert(t, s.bytes <= maxBodyBytes)
	got, a := s.Fence(state.ClaimKey{Key: fmt.Sprint(maxClaims - 1)}, 1, exp, t0)
	assert.Equal(t, got, wire.RequestDone)
	assert.Assert(t, a.Partial && a.Status == 200)
	for range maxClaims {
		s.expire(exp.Add(time.Second))
	}
	assert.Equal(t, s.bytes, 0)
}
