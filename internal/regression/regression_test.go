package regression

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFitStaysFiniteAfterLongPause guards against variances that overflow when a fit is
// widened by a span of very many half-lives.
func TestFitStaysFiniteAfterLongPause(t *testing.T) {
	f := Fit{}
	for range 2 {
		f.Grow(1, 0.5)
	}
	f.Update([]float64{1, 1}, 3, 0.1, 0)
	f.Widen(Growth(24*time.Hour, time.Minute), func(int) float64 { return 0.5 })
	f.Update([]float64{1, 1}, 3, 0.1, 0)
	for i := range f.Size() {
		assert.Assert(t, f.Beta(i) > 0 && f.Beta(i) < 3, "estimate of coefficient %d is %v", i, f.Beta(i))
		assert.Assert(t, !math.IsNaN(f.Variance(i)) && f.Variance(i) <= 0.5, "variance of the estimate is %v", f.Variance(i))
	}
}
