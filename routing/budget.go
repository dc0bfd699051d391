package routing

import "time"

// Budget bounds retries to a share of the requests, so that retries cannot
// multiply an overload. It is a token bucket filled by requests, with a small
// steady flow for entries that see few. It is not safe for concurrent use.
type Budget struct {
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

// NewBudget returns a budget of share retries for each request.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: maxTokens / 2} }

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// Retry reports whether a retry is allowed, and takes it from the budget.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(maxTokens, b.tokens+steadyRate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
