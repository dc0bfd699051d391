package routing

import "time"

// RetryBudget limits retries to a share of the requests, so that retries can't
// amplify an overload. It is a token bucket that requests refill, and that also
// refills at a low rate for entries with few requests. It is not safe for
// concurrent use.
type RetryBudget struct {
	share  float64
	tokens float64
	at     time.Time
}

const (
	// maxTokens is the capacity of the bucket, the largest burst of retries.
	maxTokens = 20
	// steadyRate is the refill per second without requests.
	steadyRate = 0.5
)

// NewRetryBudget returns a budget of share retries for each request.
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

func (b *RetryBudget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(maxTokens, b.tokens+steadyRate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
