package routing

import "time"

// RetryBudget limits retries to a share of the requests, so that retries can't
// amplify an overload. It is a token bucket. Each request adds a part of a token, and
// a low constant rate of tokens is added too, for entries with few requests. A retry
// takes one token. RetryBudget is not safe for concurrent use.
type RetryBudget struct {
	share  float64   // tokens added by each request
	tokens float64   // tokens in the bucket
	at     time.Time // time of the last refill
}

const (
	// maxTokens is the capacity of the bucket, the largest burst of retries.
	maxTokens = 20
	// steadyRate is the number of tokens added each second, whatever the number of
	// requests.
	steadyRate = 0.5
)

// NewRetryBudget returns a budget that allows share retries for each request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: maxTokens / 2}
}

// AddRequest counts a request that is not a retry.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// TryRetry reports whether a retry is allowed, and if so takes it from the budget.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill.
func (b *RetryBudget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(maxTokens, b.tokens+steadyRate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
