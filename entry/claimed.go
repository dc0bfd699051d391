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
	// claimTimeout bounds the wait for control.
	claimTimeout = 3 * time.Second
	// settleTries is how often the outcome is offered to control.
	settleTries = 10
	// settlePause is the rest between two tries.
	settlePause = 300 * time.Millisecond
	// maxKey bounds a caller's key, in bytes.
	maxKey = 256
)

// claimed is a keyed request for which this entry holds the claim.
type claimed struct {
	claim *state.Claim
}

// runClaimed serves a request that must run at most once: it goes to an
// upstream only under a claim that control has committed for that VM.
func (c *call) runClaimed(key string) {
	ask, p := c.newAsk(key)
	if p != nil {
		c.fail(p)
		return
	}
	var tried []rudderfork.VMID
	var last *attempt
	var cl *claimed
	for range maxAttempts {
		vm, link, why, ok := c.pickAfter(last, tried)
		if !ok {
			break
		}
		next, done := c.obtain(ask, vm)
		if done {
			link.sent()
			c.pool.done(vm, 0, false)
			return // answered
		}
		cl = next
		c.vouched = true
		c.event("claimed", fmt.Sprintf("token %d for %s: %s", cl.claim.Token, vm, why))
		crash.Point(crash.EntryClaimed)
		last = c.send(vm, cl)
		link.sent()
		tried = append(tried, vm)
		if last.resp != nil {
			c.answerClaimed(last, cl)
			return
		}
		if last.problem.Type == problem.TypeBase+"claim-used" {
			// Someone fenced this token off and took over.
			c.fail(c.running("another entry works on this key"))
			return
		}
		if last.silent && c.afterSilence(last, cl.claim) {
			return // answered
		}
		if last.problem.Ran != rudderfork.RanNo {
			break // the claim stays; who asks again learns what became of it
		}
		ask.After = cl.claim.Token // it did not run: the next attempt takes over
		if c.ctx.Err() != nil || !c.mayRetry(last) {
			break
		}
	}
	if last != nil && last.problem.Ran == rudderfork.RanNo {
		c.giveBack(cl)
	}
	c.giveUp(last)
}

// newAsk reads the body whole and prepares the claim.
func (c *call) newAsk(key string) (*state.Acquire, *rudderfork.Problem) {
	if len(key) > maxKey {
		return nil, problem.New(http.StatusBadRequest, "malformed", fmt.Sprintf("Idempotency-Key is longer than %d bytes", maxKey), rudderfork.RanNo)
	}
	err := c.body.keep()
	if errors.Is(err, errTooLarge) {
		return nil, problem.New(http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body of a request with a key is larger than %d bytes", maxKeyed), rudderfork.RanNo)
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

// obtain gets the claim for a VM. done is true if the caller was answered.
func (c *call) obtain(ask *state.Acquire, vm rudderfork.VMID) (cl *claimed, done bool) {
	info, ok := c.h.fleet.info(vm)
	if !ok {
		c.fail(c.unavailable("no-upstream", "the upstream has left"))
		return nil, true
	}
	// Twice is enough: the second ask takes over what the first one met.
	for range 2 {
		ask.VM, ask.Boot = vm, info.Boot
		ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
		res, err := c.h.client.Claim(ctx, *ask)
		cancel()
		if err != nil {
			c.fail(c.noClaim(err))
			return nil, true
		}
		if res.Granted {
			return &claimed{res.Claim}, false
		}
		if res.Claim == nil {
			c.fail(c.unavailable("claim-expired", "the claim ran out; nothing ran now"))
			return nil, true
		}
		if !c.takeOver(ask, res.Claim) {
			return nil, true
		}
	}
	c.fail(c.running("another entry works on this key"))
	return nil, true
}

// noClaim answers when control did not. This entry sent the request to no
// upstream, but under the same key it may run elsewhere, or may have run.
func (c *call) noClaim(err error) *rudderfork.Problem {
	p := c.unavailable("no-claim", "control cannot be asked for the right to run it once; it was not sent now, but may have run before")
	if errors.Is(err, node.ErrOutcomeUnknown) {
		p.Detail = "control did not answer in time; it was not sent now, but may have run before"
	}
	return p
}

func (c *call) running(detail string) *rudderfork.Problem {
	p := problem.New(http.StatusConflict, "still-running", detail, rudderfork.RanUnknown)
	p.RetryAt = steady.Now().Add(retryPause)
	return p
}

// takeOver deals with a claim that someone else obtained. It returns true if
// the request surely did not run, and ask is ready to take the claim over; else
// the caller was answered.
func (c *call) takeOver(ask *state.Acquire, held *state.Claim) bool {
	if string(held.Digest) != string(ask.Digest) {
		c.fail(problem.New(http.StatusUnprocessableEntity, "key-reused", "the key was used for another request", rudderfork.RanNo))
		return false
	}
	if held.Phase == state.ClaimDone {
		c.replay(held.Answer)
		return false
	}
	fate, answer := c.fate(held)
	c.event("claim_met", fmt.Sprintf("token %d on %s: %s", held.Token, held.VM, fate))
	switch fate {
	case wire.RequestNever:
		ask.After = held.Token
		return true
	case wire.RequestDone:
		c.h.settle(state.Settle{Key: held.Key, Token: held.Token, Answer: answer})
		c.replay(answer)
	case wire.RequestRunning:
		c.fail(c.running("a request with this key is still running"))
	default:
		p := problem.New(http.StatusBadGateway, "unknown", "a request with this key was sent to "+string(held.VM)+", and whether it ran cannot be known now", rudderfork.RanUnknown)
		p.RetryAt = steady.Now().Add(retryPause)
		c.fail(p)
	}
	return false
}

// sessionSpan bounds how long an agent whose connections fell silent is asked for a
// request's fate, while it cannot be asked: until the session's silence has been
// noticed (4/3 of wire.ProbeSession's limit of 5 s), and another one dialled, after
// redialPause and within wire.DialTimeout (2 s).
const sessionSpan = 10 * time.Second

// afterSilence finds out, on the session, what became of a request whose agent fell
// silent, and waits for its answer if it is running. It returns true if the caller
// was answered; else the problem of the attempt says what is known.
func (c *call) afterSilence(a *attempt, cl *state.Claim) (answered bool) {
	limit := steady.Now().Add(sessionSpan)
	for c.ctx.Err() == nil {
		f, err := c.askFate(cl)
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

// fate asks the agent that the claim names.
func (c *call) fate(held *state.Claim) (wire.RequestState, *state.Answer) {
	f, err := c.askFate(held)
	if err != nil {
		return wire.RequestUnknown, nil
	}
	return f.State, f.Answer
}

func (c *call) askFate(held *state.Claim) (wire.Fenced, error) {
	l := c.h.fleet.link(held.VM)
	if l == nil {
		return wire.Fenced{}, errNoAgent
	}
	return l.fence(c.ctx, held)
}

// replay gives the first answer again.
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
	_, _ = c.w.Write(a.Body) // a caller that is gone asks again
}

// answerClaimed passes the answer on and records it. It is recorded only when it
// came whole; else the agent knows more.
func (c *call) answerClaimed(a *attempt, cl *claimed) {
	crash.Point(crash.EntrySent)
	cp := relay.NewCapture(state.MaxAnswerBytes)
	status, ctype := a.resp.StatusCode, a.resp.Header.Get("Content-Type")
	c.answer(a, cp)
	crash.Point(crash.EntryAnswered)
	c.h.settle(state.Settle{Key: cl.claim.Key, Token: cl.claim.Token, Answer: &state.Answer{
		Status: status, ContentType: ctype, Body: cp.Body(), Partial: cp.Partial(),
	}})
}

// giveBack lets go of a claim under which nothing ran.
func (c *call) giveBack(cl *claimed) {
	c.h.settle(state.Settle{Key: cl.claim.Key, Token: cl.claim.Token, NotRun: true})
}

// settle tells control how a claimed request ended, without holding up the
// caller. If control cannot be told, the agent still knows.
func (h *handler) settle(s state.Settle) {
	h.fleet.pending.Go(func() {
		for range settleTries {
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
