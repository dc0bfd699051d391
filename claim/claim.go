// Package claim is the agent's memory of requests that must run at most once.
//
// Control grants the right to run a keyed request as a token, for one VM and one
// boot of its agent. The agent lets a token run once. Asked about a token that
// it has not seen, it answers "never" and refuses it from then on, which is what
// lets another entry take the request over without running it twice.
//
// The memory is lost when the agent ends; a claim that names an earlier boot is
// then unknown for good.
package claim

import (
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// The reasons why Begin refuses. Under both the request did not run now.
var (
	// ErrSeen means that the token, or a later one, was seen or fenced off.
	ErrSeen = errors.New("the claim was used or fenced off")
	// ErrFull means that no more claims can be remembered.
	ErrFull = errors.New("too many claims are remembered")
)

const (
	// maxClaims bounds the number of claims remembered.
	maxClaims = 20_000
	// maxBytes bounds the bodies remembered, over all claims. Past it an answer
	// is remembered without its body; control still has it once it is settled.
	maxBytes = 8 << 20
)

// Store remembers claims until they expire. It is not safe for concurrent use.
type Store struct {
	entries map[state.ClaimKey]*entry
	order   []expiry
	bytes   int // of all bodies
}

// entry is what is known of one key.
type entry struct {
	token   rudderfork.Token
	fate    wire.RequestState
	answer  *state.Answer
	expires time.Time
}

// expiry orders entries for removal.
type expiry struct {
	key state.ClaimKey
	at  time.Time
}

// New returns an empty memory.
func New() *Store { return &Store{entries: map[state.ClaimKey]*entry{}} }

// Begin notes that the request is about to run under token.
func (m *Store) Begin(k state.ClaimKey, token rudderfork.Token, expires, now time.Time) error {
	m.expire(now)
	if e := m.entries[k]; e != nil && e.token >= token {
		return ErrSeen
	}
	return m.put(k, &entry{token: token, fate: wire.RequestRunning, expires: expires})
}

func (m *Store) put(k state.ClaimKey, e *entry) error {
	old := m.entries[k]
	if old == nil {
		if len(m.entries) >= maxClaims {
			return ErrFull
		}
		m.order = append(m.order, expiry{k, e.expires})
	}
	m.drop(old)
	m.entries[k] = e
	return nil
}

// drop takes an entry's body out of the count.
func (m *Store) drop(e *entry) {
	if e != nil && e.answer != nil {
		m.bytes -= len(e.answer.Body)
	}
}

// NotRun notes that the request was refused before it reached the upstream.
func (m *Store) NotRun(k state.ClaimKey, token rudderfork.Token) {
	m.end(k, token, wire.RequestNever, nil)
}

// Done notes the answer.
func (m *Store) Done(k state.ClaimKey, token rudderfork.Token, a *state.Answer) {
	if m.bytes+len(a.Body) > maxBytes {
		a = &state.Answer{Status: a.Status, ContentType: a.ContentType, Partial: true}
	}
	m.end(k, token, wire.RequestDone, a)
}

// Unknown notes that the request reached the upstream and no answer came.
func (m *Store) Unknown(k state.ClaimKey, token rudderfork.Token) {
	m.end(k, token, wire.RequestUnknown, nil)
}

func (m *Store) end(k state.ClaimKey, token rudderfork.Token, f wire.RequestState, a *state.Answer) {
	if e := m.entries[k]; e != nil && e.token == token {
		m.drop(e)
		e.fate, e.answer = f, a
		if a != nil {
			m.bytes += len(a.Body)
		}
	}
}

// Fence returns what became of the request under token, and refuses the token
// from now on if it was not seen.
func (m *Store) Fence(k state.ClaimKey, token rudderfork.Token, expires, now time.Time) (wire.RequestState, *state.Answer) {
	m.expire(now)
	e := m.entries[k]
	if e == nil || e.token < token {
		if m.put(k, &entry{token: token, fate: wire.RequestNever, expires: expires}) != nil {
			return wire.RequestUnknown, nil // it cannot be remembered, so not vouched for
		}
		return wire.RequestNever, nil
	}
	if e.token > token {
		return wire.RequestUnknown, nil // a later holder exists; ask about that
	}
	return e.fate, e.answer
}

// expire forgets entries past their time, a few at each step.
func (m *Store) expire(now time.Time) {
	for i := 0; i < 4 && len(m.order) > 0 && now.After(m.order[0].at); i++ {
		x := m.order[0]
		m.order = m.order[1:]
		if e := m.entries[x.key]; e != nil && !e.expires.After(now) {
			m.drop(e)
			delete(m.entries, x.key)
		}
	}
}

// Len returns how many claims are remembered.
func (m *Store) Len() int { return len(m.entries) }
