package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	// claimTimeout bounds the wait for control's answer to a claim or a settlement.
	claimTimeout = 3 * time.Second
	// maxSettleAttempts bounds the attempts to report the outcome of a claimed request to
	// control.
	maxSettleAttempts = 10
	// settlePause is the pause between two such attempts, and between two queries of an
	// agent for the state of a request.
	settlePause = 300 * time.Millisecond
	// maxKeyBytes bounds a caller's idempotency key, in bytes.
	maxKeyBytes = 256
)

// claimed is a request with an idempotency key for which this entry holds the claim.
type claimed struct {
	claim *state.Claim
}

// runClaimed serves a request with an idempotency key, which must run at most once. It
// is sent to an upstream only after control has committed a claim for that VM.
func (c *call) runClaimed(key string) {
	acq, p := c.newAcquire(key)
	if p != nil {
		c.fail(p)
		return
	}
	var tried []rudderfork.VMID
	var last *attempt
	var cl *claimed
	for range maxAttempts {
		vm, link, reason, ok := c.pickAfter(last, tried)
		if !ok {
			break
		}
		next, done := c.acquireClaim(acq, vm)
		if done {
			link.release()
			c.pool.done(vm, 0, false)
			return // answered
		}
		cl = next
		c.knownNotRun = true
		c.event("claimed", fmt.Sprintf("token %d for %s: %s", cl.claim.Token, vm, reason))
		crash.Point(crash.EntryClaimed)
		last = c.send(vm, cl)
		link.release()
		tried = append(tried, vm)
		if last.resp != nil {
			c.writeClaimed(last, cl)
			return
		}
		if last.problem.Type == problem.TypeBase+"claim-used" {
			// Another entry has fenced this token off and taken over the claim.
			c.fail(c.keyInUse("another entry works on this key"))
			return
		}
		if last.silent && c.resolveSilence(last, cl.claim) {
			return // answered
		}
		if last.problem.Ran != rudderfork.RanNo {
			break // the claim stays held; a repeated request queries the agent for the outcome
		}
		acq.After = cl.claim.Token // the request did not run: the next attempt takes over the claim
		if c.ctx.Err() != nil || !c.tryRetry(last) {
			break
		}
	}
	if last != nil && last.problem.Ran == rudderfork.RanNo {
		c.releaseClaim(cl)
	}
	c.giveUp(last)
}

// newAcquire reads the whole body and returns the command that acquires the claim.
func (c *call) newAcquire(key string) (*state.Acquire, *rudderfork.Problem) {
	if len(key) > maxKeyBytes {
		return nil, problem.New(http.StatusBadRequest, "malformed", fmt.Sprintf("Idempotency-Key is longer than %d bytes", maxKeyBytes), rudderfork.RanNo)
	}
	err := c.body.buffer()
	if errors.Is(err, errTooLarge) {
		return nil, problem.New(http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body of a request with a key is larger than %d bytes", maxKeyedBytes), rudderfork.RanNo)
	}
	if err != nil {
		return nil, problem.New(http.StatusBadRequest, "malformed", "the body broke off", rudderfork.RanNo)
	}
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", c.r.Method, c.url.RequestURI())
	h.Write(c.body.kept)
	window := c.h.table.Service(c.service, rudderfork.ColClaimWindow)
	return &state.Acquire{
		Key: state.ClaimKey{Service: c.service, Key: key}, Digest: h.Sum(nil),
		Expires: rudderfork.Millis(steady.Now().Add(time.Duration(window) * time.Second)),
	}, nil
}

// acquireClaim acquires the claim for a VM. done is true if the caller was answered.
func (c *call) acquireClaim(acq *state.Acquire, vm rudderfork.VMID) (cl *claimed, done bool) {
	info, ok := c.h.fleet.info(vm)
	if !ok {
		c.fail(c.unavailable("no-upstream", "the upstream has left"))
		return nil, true
	}
	// Two rounds suffice: if the first finds a claim whose request did not run, the second
	// takes it over.
	for range 2 {
		acq.VM, acq.Boot = vm, info.Boot
		ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
		res, err := c.h.client.Claim(ctx, *acq)
		cancel()
		if err != nil {
			c.fail(c.claimUnavailable(err))
			return nil, true
		}
		if res.Granted {
			return &claimed{res.Claim}, false
		}
		if res.Claim == nil {
			c.fail(c.unavailable("claim-expired", "the claim ran out; nothing ran now"))
			return nil, true
		}
		if !c.takeOver(acq, res.Claim) {
			return nil, true
		}
	}
	c.fail(c.keyInUse("another entry works on this key"))
	return nil, true
}

// claimUnavailable returns the problem for a claim that control did not grant because it
// could not be reached or did not answer. This entry has sent the request to no
// upstream, but a request with the same key may be running elsewhere, or may have run.
func (c *call) claimUnavailable(err error) *rudderfork.Problem {
	p := c.unavailable("no-claim", "control cannot be asked for the right to run it once; it was not sent now, but may have run before")
	if errors.Is(err, node.ErrOutcomeUnknown) {
		p.Detail = "control did not answer in time; it was not sent now, but may have run before"
	}
	return p
}

// keyInUse returns the problem for a request whose key is in use.
func (c *call) keyInUse(detail string) *rudderfork.Problem {
	p := problem.New(http.StatusConflict, "still-running", detail, rudderfork.RanUnknown)
	p.RetryAt = steady.Now().Add(retryDelay)
	return p
}

// takeOver handles a claim that an earlier request with the same key acquired. It
// returns true if that request certainly did not run; acq is then changed so that it
// takes over the claim. Otherwise takeOver answers the caller and returns false.
func (c *call) takeOver(acq *state.Acquire, held *state.Claim) bool {
	if string(held.Digest) != string(acq.Digest) {
		c.fail(problem.New(http.StatusUnprocessableEntity, "key-reused", "the key was used for another request", rudderfork.RanNo))
		return false
	}
	if held.Phase == state.ClaimDone {
		c.replay(held.Answer)
		return false
	}
	reqState, answer := c.requestState(held)
	c.event("claim_met", fmt.Sprintf("token %d on %s: %s", held.Token, held.VM, reqState))
	switch reqState {
	case wire.RequestNever:
		acq.After = held.Token
		return true
	case wire.RequestDone:
		c.h.settle(state.Settle{Key: held.Key, Token: held.Token, Answer: answer})
		c.replay(answer)
	case wire.RequestRunning:
		c.fail(c.keyInUse("a request with this key is still running"))
	default:
		p := problem.New(http.StatusBadGateway, "unknown", "a request with this key was sent to "+string(held.VM)+", and whether it ran cannot be known now", rudderfork.RanUnknown)
		p.RetryAt = steady.Now().Add(retryDelay)
		c.fail(p)
	}
	return false
}

// stateQueryTimeout is how long queries of an agent are repeated although they fail,
// after its connections have gone silent. It covers the time until the session is
// recognised as silent (at most 4/3 of wire.ProbeSession's limit of 5 s) and a new one
// is open, after redialPause and within wire.DialTimeout (2 s).
const stateQueryTimeout = 10 * time.Second

// resolveSilence queries the agent, over its session, for the state of a request whose
// connection went silent, and waits for the result while the request is running. It
// returns true if the caller was answered; else the problem of the attempt says what
// is known.
func (c *call) resolveSilence(a *attempt, cl *state.Claim) (answered bool) {
	limit := steady.Now().Add(stateQueryTimeout)
	for c.ctx.Err() == nil {
		f, err := c.queryState(cl)
		switch {
		case err != nil && steady.Now().After(limit):
			c.event("fate_unknown", err.Error())
			return false
		case err != nil:
		case f.State == wire.RequestDone:
			c.h.settle(state.Settle{Key: cl.Key, Token: cl.Token, Answer: f.Answer})
			c.replay(f.Answer)
			return true
		case f.State == wire.RequestNever:
			a.problem = c.unavailable("unreachable", "the connection to "+string(a.vm)+" fell silent before the request came there")
			return false
		case f.State == wire.RequestUnknown:
			return false
		}
		steady.Pause(c.ctx, settlePause)
	}
	return false
}

// requestState returns the state of a claimed request, as the agent that the claim
// names reports it.
func (c *call) requestState(held *state.Claim) (wire.RequestState, *state.Answer) {
	f, err := c.queryState(held)
	if err != nil {
		return wire.RequestUnknown, nil
	}
	return f.State, f.Answer
}

// queryState fences a claimed request off at its agent and returns the request's state.
func (c *call) queryState(held *state.Claim) (wire.Fenced, error) {
	l := c.h.fleet.link(held.VM)
	if l == nil {
		return wire.Fenced{}, errNoAgent
	}
	return l.fence(c.ctx, held)
}

// replay answers the caller with the recorded response.
func (c *call) replay(a *state.Answer) {
	if a == nil || a.Partial {
		c.fail(problem.New(http.StatusConflict, "ran", "it ran; its answer was too large to keep", rudderfork.RanYes))
		return
	}
	c.event("replayed", fmt.Sprint(a.Status))
	h := c.w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(relay.HeaderRequest, c.id)
	h.Set(relay.HeaderReplayed, "yes")
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body) // a caller whose connection is closed repeats the request
}

// writeClaimed forwards the response to the caller and has control record it. A
// response that is cut off isn't recorded; the agent may still have all of it.
func (c *call) writeClaimed(a *attempt, cl *claimed) {
	crash.Point(crash.EntrySent)
	cp := relay.NewCapture(state.MaxAnswerBytes)
	status, ctype := a.resp.StatusCode, a.resp.Header.Get("Content-Type")
	c.writeResponse(a, cp)
	crash.Point(crash.EntryAnswered)
	c.h.settle(state.Settle{Key: cl.claim.Key, Token: cl.claim.Token, Answer: &state.Answer{
		Status: status, ContentType: ctype, Body: cp.Body(), Partial: cp.Partial(),
	}})
}

// releaseClaim releases a claim under which nothing ran.
func (c *call) releaseClaim(cl *claimed) {
	c.h.settle(state.Settle{Key: cl.claim.Key, Token: cl.claim.Token, NotRun: true})
}

// settle reports the outcome of a claimed request to control, in the background. If
// control cannot be reached, the agent still has the outcome.
func (h *handler) settle(s state.Settle) {
	h.fleet.settlements.Go(func() {
		for range maxSettleAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
			_, err := h.client.Settle(ctx, s)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(settlePause)
		}
		h.log.Warn().Str("key", s.Key.Key).Msg("settle_failed")
	})
}
