package state

import (
	"rudderfork.example/rudderfork"
)

// ClaimKey names a request that must run at most once.
type ClaimKey struct {
	Service rudderfork.Service `cbor:"1,keyasint"`
	Key     string             `cbor:"2,keyasint"` // the Idempotency-Key that the client sent
}

// ClaimPhase is the state of a claimed request.
type ClaimPhase string

// The phases of a claim.
const (
	ClaimHeld ClaimPhase = "held" // granted to an entry, which may have sent the request to the VM
	ClaimDone ClaimPhase = "done" // the request ran; Claim.Answer is its answer
)

// Claim is the right to run one request, at most once. The token rises when
// another entry takes the claim over, which happens only when it is certain that
// the request did not run under the older token.
type Claim struct {
	Key     ClaimKey         `cbor:"1,keyasint"`
	Token   rudderfork.Token `cbor:"2,keyasint"`
	Digest  []byte           `cbor:"3,keyasint"` // SHA-256 of method, path with query, and body
	VM      rudderfork.VMID  `cbor:"4,keyasint"` // the only VM that may run the request under this token
	Boot    string           `cbor:"5,keyasint"` // boot ID of that VM's agent
	Phase   ClaimPhase       `cbor:"6,keyasint"`
	Expires int64            `cbor:"7,keyasint"` // Unix ms
	Answer  *Answer          `cbor:"8,keyasint,omitempty"`
}

// Answer is the recorded answer to a claimed request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Partial     bool   `cbor:"4,keyasint,omitempty"` // Body is left out, since it was too large
}

// MaxAnswerBytes is the maximum length of a recorded body, in bytes.
const MaxAnswerBytes = 16 << 10

// Acquire requests a claim. With After 0 it is granted only if the request has no
// claim yet. Otherwise it takes the claim over from the holder of the token After,
// and the caller must have fenced off that token at the VM's agent before.
type Acquire struct {
	Key     ClaimKey         `cbor:"1,keyasint"`
	After   rudderfork.Token `cbor:"2,keyasint,omitempty"`
	Digest  []byte           `cbor:"3,keyasint"`
	VM      rudderfork.VMID  `cbor:"4,keyasint"`
	Boot    string           `cbor:"5,keyasint"`
	Expires int64            `cbor:"6,keyasint"`
}

// Settle records the answer to a claimed request. With NotRun it instead releases
// the claim, since the request did not run.
type Settle struct {
	Key    ClaimKey         `cbor:"1,keyasint"`
	Token  rudderfork.Token `cbor:"2,keyasint"`
	Answer *Answer          `cbor:"3,keyasint,omitempty"`
	NotRun bool             `cbor:"4,keyasint,omitempty"`
}

// claimExpiry is an element of State.claimQueue: a claim and when it expires.
type claimExpiry struct {
	Key     ClaimKey `cbor:"1,keyasint"`
	Expires int64    `cbor:"2,keyasint"`
}

// claim grants the claim and sets Result.Granted, or returns the claim that another
// caller holds or that is already settled.
func (s *State) claim(a Acquire, at int64) Result {
	s.expireClaims(at)
	old := s.claims[a.Key]
	if old != nil && (old.Phase == ClaimDone || a.After != old.Token) {
		r := s.ok()
		r.Claim = old
		return r
	}
	if old == nil && a.After != 0 {
		return s.reject(CodeNotFound, "the claim is gone")
	}
	c := &Claim{Key: a.Key, Token: a.After + 1, Digest: a.Digest, VM: a.VM, Boot: a.Boot, Phase: ClaimHeld, Expires: a.Expires}
	if old == nil {
		// The index of the log entry exceeds every older token, also those of
		// claims that were released and are no longer stored.
		c.Token = rudderfork.Token(s.revision)
		s.claimQueue = append(s.claimQueue, claimExpiry{a.Key, a.Expires})
	} else {
		c.Expires = old.Expires
	}
	s.claims[a.Key] = c
	r := s.ok()
	r.Claim, r.Granted = c, true
	return r
}

func (s *State) settle(st Settle, at int64) Result {
	s.expireClaims(at)
	c := s.claims[st.Key]
	if c == nil || c.Token != st.Token || c.Phase == ClaimDone {
		return s.reject(CodeConflict, "the claim is not held under token %d", st.Token)
	}
	if st.NotRun {
		delete(s.claims, st.Key)
		return s.ok()
	}
	done := *c // a copy, since results that were returned earlier point to c
	done.Phase, done.Answer = ClaimDone, st.Answer
	s.claims[st.Key] = &done
	return s.ok()
}

// expireClaims removes expired claims, at most four in each call to bound its
// cost.
func (s *State) expireClaims(at int64) {
	for i := 0; i < 4 && len(s.claimQueue) > 0 && s.claimQueue[0].Expires <= at; i++ {
		e := s.claimQueue[0]
		s.claimQueue = s.claimQueue[1:]
		if c := s.claims[e.Key]; c != nil && c.Expires <= at {
			delete(s.claims, e.Key)
		}
	}
}

// ClaimCount returns the number of stored claims.
func (s *State) ClaimCount() int { return len(s.claims) }
