package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

func newPicker(vms ...rudderfork.VMID) *Probing {
	p := NewProbing("d1", 1)
	var us []rudderfork.Upstream
	for _, vm := range vms {
		us = append(us, rudderfork.Upstream{Place: rudderfork.Place{VM: vm, Domain: "d1"}, Addr: string(vm)})
	}
	p.SetUpstreams(us, t0)
	return p
}

// sendRequests sends n requests one at a time, and returns the number of requests to
// each VM. took returns how long a request takes there and whether it fails.
func sendRequests(p *Probing, n int, now time.Time, took func(rudderfork.VMID) (time.Duration, bool)) map[rudderfork.VMID]int {
	got := map[rudderfork.VMID]int{}
	for range n {
		vm, _, ok := p.Pick(now, nil)
		if !ok {
			continue
		}
		p.Sent(vm, now)
		d, failed := took(vm)
		now = now.Add(time.Millisecond)
		p.Done(vm, d, failed, now)
		got[vm]++
	}
	return got
}

func TestSlowUpstream(t *testing.T) {
	p := newPicker("a", "b", "slow")
	got := sendRequests(p, 300, t0, func(vm rudderfork.VMID) (time.Duration, bool) {
		if vm == "slow" {
			return 100 * time.Millisecond, false
		}
		return 5 * time.Millisecond, false
	})
	assert.Assert(t, got["slow"] >= 1 && got["slow"] < 10, "%v", got)
	t.Run("it is tried again after a while", func(t *testing.T) {
		got := sendRequests(p, 300, t0.Add(time.Minute), func(rudderfork.VMID) (time.Duration, bool) { return 5 * time.Millisecond, false })
		assert.Assert(t, got["slow"] > 50, "%v", got)
	})
}

func TestFailingUpstream(t *testing.T) {
	p := newPicker("a", "b", "bad")
	failing := func(vm rudderfork.VMID) (time.Duration, bool) { return 5 * time.Millisecond, vm == "bad" }
	got := sendRequests(p, 300, t0, failing)
	assert.Equal(t, got["bad"], maxFailures, "%v", got)
	t.Run("after the ejection one failure ejects it for longer", func(t *testing.T) {
		got := sendRequests(p, 300, t0.Add(baseEjection+time.Millisecond), failing)
		assert.Equal(t, got["bad"], 1, "%v", got)
	})
	t.Run("it gets one request at a time after the ejection", func(t *testing.T) {
		now := t0.Add(time.Minute)
		sent := 0
		for range 100 {
			if vm, _, _ := p.Pick(now, []rudderfork.VMID{"a", "b"}); vm == "bad" && p.byVM["bad"].accepts(now) {
				p.Sent("bad", now)
				sent++
			}
		}
		assert.Equal(t, sent, 1)
	})
}

// TestRefusalsDontCountAsLatency guards against an upstream that gets most requests
// because it refuses them at once and therefore seems to be the fastest.
func TestRefusalsDontCountAsLatency(t *testing.T) {
	p := newPicker("a", "b", "full")
	got := sendRequests(p, 300, t0, func(vm rudderfork.VMID) (time.Duration, bool) {
		if vm == "full" {
			return 0, false
		}
		return 20 * time.Millisecond, false
	})
	assert.Assert(t, p.byVM["full"].latency == 0 && p.byVM["full"].latencyAt.IsZero(), "a refusal counted as a latency")
	assert.Assert(t, got["a"] > 0 && got["b"] > 0, "%v", got)
}

func TestLeavingUpstream(t *testing.T) {
	p := newPicker("a", "b")
	p.Observe("a", rudderfork.Load{Leaving: true}, t0)
	got := sendRequests(p, 50, t0, func(rudderfork.VMID) (time.Duration, bool) { return time.Millisecond, false })
	assert.Equal(t, got["a"], 0)
}

func TestNoneUsable(t *testing.T) {
	p := newPicker("a")
	_, _, ok := p.Pick(t0, []rudderfork.VMID{"a"})
	assert.Assert(t, !ok)
	t.Run("an ejected upstream is used if there is no other", func(t *testing.T) {
		sendRequests(p, maxFailures, t0, func(rudderfork.VMID) (time.Duration, bool) { return 0, true })
		_, _, ok := p.Pick(t0.Add(10*time.Millisecond), nil)
		assert.Assert(t, ok)
	})
}

func TestBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		b.AddRequest(t0)
		if b.TryRetry(t0) {
			retries++
		}
	}
	assert.Assert(t, retries <= 100+maxTokens/2, "%d retries for 1000 requests", retries)
	assert.Assert(t, retries >= 100, "%d retries for 1000 requests", retries)
}
