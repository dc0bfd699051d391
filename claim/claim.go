// Package claim keeps an agent's record of requests that must run at most once.
//
// The control processes grant a claim, the right to run a request with an
// idempotency key, to an entry. A claim has a token and is valid for one VM and one
// boot of its agent. The agent runs a request at most once for each token. An entry
// that takes the request over first fences off the older token. If the agent hasn't
// seen that token, it answers RequestNever and refuses the token from then on. So the
// request can't run twice.
//
// The record is lost when the agent ends. Then it is unknown whether a request ran
// whose claim names an earlier boot.
package claim

import (
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// The errors of Begin. After either, the request must not run now.
var (
	// ErrSeen means that this or a later token was used or fenced off.
	ErrSeen = errors.New("the claim was used or fenced off")
	// ErrFull means that the store holds the maximum number of claims.
	ErrFull = errors.New("too many claims are remembered")
)

const (
	// maxClaims is the maximum number of claims stored.
	maxClaims = 20_000
	// maxBodyBytes is the maximum sum of the lengths of stored bodies. An answer that
	// would exceed it is stored without its body. The control processes have the body
	// once the claim is settled.
	maxBodyBytes = 8 << 20
)

// Store keeps claims until they expire. It is not safe for concurrent use.
type Store struct {
	entries  map[state.ClaimKey]*entry
	expiries []expiry // in the order in which the keys were added
	bytes    int      // sum of the lengths of all bodies
}

// entry is the newest claim of one key.
type entry struct {
	token   rudderfork.Token
	state   wire.RequestState
	answer  *state.Answer
	expires time.Time
}

// expiry is an element of Store.expiries: a key and when its claim expires.
type expiry struct {
	key state.ClaimKey
	at  time.Time
}

// New returns an empty store.
func New() *Store { return &Store{entries: map[state.ClaimKey]*entry{}} }

// Begin records that the request is about to run under token.
func (s *Store) Begin(k state.ClaimKey, token rudderfork.Token, expires, now time.Time) error {
	s.expire(now)
	if e := s.entries[k]; e != nil && e.token >= token {
		return ErrSeen
	}
	return s.put(k, &entry{token: token, state: wire.RequestRunning, expires: expires})
}

// put makes e the entry of k, or returns ErrFull.
func (s *Store) put(k state.ClaimKey, e *entry) error {
	old := s.entries[k]
	if old == nil {
		if len(s.entries) >= maxClaims {
			return ErrFull
		}
		s.expiries = append(s.expiries, expiry{k, e.expires})
	}
	s.releaseBody(old)
	s.entries[k] = e
	return nil
}

// releaseBody subtracts the length of an entry's body from the sum.
func (s *Store) releaseBody(e *entry) {
	if e != nil && e.answer != nil {
		s.bytes -= len(e.answer.Body)
	}
}

// NotRun records that the request was refused before it reached the upstream.
func (s *Store) NotRun(k state.ClaimKey, token rudderfork.Token) {
	s.end(k, token, wire.RequestNever, nil)
}

// Done records the answer of the upstream. The body is left out if it would exceed
// maxBodyBytes.
func (s *Store) Done(k state.ClaimKey, token rudderfork.Token, a *state.Answer) {
	if s.bytes+len(a.Body) > maxBodyBytes {
		a = &state.Answer{Status: a.Status, ContentType: a.ContentType, Partial: true}
	}
	s.end(k, token, wire.RequestDone, a)
}

// Unknown records that the request reached the upstream and no answer came.
func (s *Store) Unknown(k state.ClaimKey, token rudderfork.Token) {
	s.end(k, token, wire.RequestUnknown, nil)
}

// end records the final state of the request, if token is that of the stored claim.
func (s *Store) end(k state.ClaimKey, token rudderfork.Token, st wire.RequestState, a *state.Answer) {
	if e := s.entries[k]; e != nil && e.token == token {
		s.releaseBody(e)
		e.state, e.answer = st, a
		if a != nil {
			s.bytes += len(a.Body)
		}
	}
}

// Fence returns the state of the request under token, with the answer if it is
// done. If the token wasn't seen yet, Begin returns ErrSeen for it from now on.
func (s *Store) Fence(k state.ClaimKey, token rudderfork.Token, expires, now time.Time) (wire.RequestState, *state.Answer) {
	s.expire(now)
	e := s.entries[k]
	if e == nil || e.token < token {
		if s.put(k, &entry{token: token, state: wire.RequestNever, expires: expires}) != nil {
			return wire.RequestUnknown, nil // the fence can't be stored, so the token might still run
		}
		return wire.RequestNever, nil
	}
	if e.token > token {
		return wire.RequestUnknown, nil // a later token exists, whose holder knows the state
	}
	return e.state, e.answer
}

// expire removes expired entries, at most four in each call to bound its cost.
func (s *Store) expire(now time.Time) {
	for i := 0; i < 4 && len(s.expiries) > 0 && now.After(s.expiries[0].at); i++ {
		x := s.expiries[0]
		s.expiries = s.expiries[1:]
		if e := s.entries[x.key]; e != nil && !e.expires.After(now) {
			s.releaseBody(e)
			delete(s.entries, x.key)
		}
	}
}

// Len returns the number of stored claims.
func (s *Store) Len() int { return len(s.entries) }
