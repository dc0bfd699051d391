package interference

import (
	"math"
	"time"
)

// regression is recursive least squares over coefficients that are added one by
// one, each with a prior. Forgetting is the caller's: it widens the errors.
type regression struct {
	beta []float64
	cov  [][]float64
}

func (r *regression) size() int { return len(r.beta) }

func (r *regression) variance(i int) float64 { return max(0, r.cov[i][i]) }

// grow adds a coefficient with its prior mean and variance, and returns its
// index.
func (r *regression) grow(mean, variance float64) int {
	n := len(r.beta)
	r.beta = append(r.beta, mean)
	for i := range r.cov {
		r.cov[i] = append(r.cov[i], 0)
	}
	r.cov = append(r.cov, make([]float64, n+1))
	r.cov[n][n] = variance
	return n
}

// widen multiplies the covariance, but lets no variance pass its limit.
func (r *regression) widen(factor float64, limit func(i int) float64) {
	for i := range r.cov {
		for j := range r.cov[i] {
			r.cov[i][j] *= factor
		}
	}
	for i := range r.cov {
		if most := limit(i); r.cov[i][i] > most {
			r.shrink(i, math.Sqrt(most/r.cov[i][i]))
		}
	}
}

// shrink scales the standard error of a coefficient.
func (r *regression) shrink(i int, by float64) {
	for j := range r.cov {
		r.cov[i][j] *= by
		r.cov[j][i] *= by
	}
}

// update takes an observation y of the coefficients weighted by x, with the
// variance of its noise. outlier bounds how far it may pull the fit, in standard
// deviations of what was expected; 0 means any.
func (r *regression) update(x []float64, y, noise, outlier float64) {
	n := len(x)
	px := make([]float64, n)
	predicted, variance := 0.0, noise
	for i := range n {
		for j := range n {
			px[i] += r.cov[i][j] * x[j]
		}
		predicted += r.beta[i] * x[i]
	}
	for i := range n {
		variance += x[i] * px[i]
	}
	off := y - predicted
	if most := outlier * math.Sqrt(max(variance, noise)); most > 0 {
		off = max(-most, min(most, off))
	}
	for i := range n {
		r.beta[i] += px[i] / variance * off
	}
	for i := range n {
		for j := range n {
			r.cov[i][j] -= px[i] * px[j] / variance
		}
	}
}

// growth is by how much variances grow over a span, with a half life.
func growth(span, half time.Duration) float64 {
	return math.Exp2(float64(span) / float64(half))
}
