package routing

import "time"

// RetryBudget bounds retries to a share of the requests, so that retries cannot
// multiply an overload. It is a token bucket filled by requests, with a small
// steady flow for entries that see few. It is not safe for concurrent use.
type RetryBudget struct {
	share  float64
	tokens float64
	at     time.Time
}

const (
	// maxTokens bounds a burst of retries.
	maxTokens = 20
	// steadyRate is how many retries a second are allowed however few requests
	// there are.
	steadyRate = 0.5
)

// NewRetryBudget returns a budget of share retries for each request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: maxTokens / 2}
}

// AddRequest counts a request.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// TryRetry reports whether a retry is allowed, and takes it from the budget.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(maxTokens, b.tokens+steadyRate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
