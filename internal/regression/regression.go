// Package regression fits straight lines to observations that come one by one: recursive
// least squares, with a prior for each coefficient and forgetting by the caller.
package regression

import (
	"math"
	"time"
)

// Fit is recursive least squares over coefficients that are added one by one, each
// with a prior. Forgetting is the caller's: it widens the errors. The zero value has no
// coefficients.
type Fit struct {
	beta []float64
	cov  [][]float64
}

// Size returns how many coefficients there are.
func (f *Fit) Size() int { return len(f.beta) }

// Beta returns a coefficient.
func (f *Fit) Beta(i int) float64 { return f.beta[i] }

// Bound keeps all coefficients from falling below a value.
func (f *Fit) Bound(least float64) {
	for i := range f.beta {
		f.beta[i] = max(least, f.beta[i])
	}
}

// Variance returns that of a coefficient.
func (f *Fit) Variance(i int) float64 { return max(0, f.cov[i][i]) }

// Grow adds a coefficient with its prior mean and variance, and returns its
// index.
func (f *Fit) Grow(mean, variance float64) int {
	n := len(f.beta)
	f.beta = append(f.beta, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = variance
	return n
}

// Widen multiplies the covariance, but lets no variance pass its limit.
func (f *Fit) Widen(factor float64, limit func(i int) float64) {
	for i := range f.cov {
		for j := range f.cov[i] {
			f.cov[i][j] *= factor
		}
	}
	for i := range f.cov {
		if most := limit(i); f.cov[i][i] > most {
			f.shrink(i, math.Sqrt(most/f.cov[i][i]))
		}
	}
}

// shrink scales the standard error of a coefficient.
func (f *Fit) shrink(i int, by float64) {
	for j := range f.cov {
		f.cov[i][j] *= by
		f.cov[j][i] *= by
	}
}

// Update takes an observation y of the coefficients weighted by x, with the
// variance of its noise. outlier bounds how far it may pull the fit, in standard
// deviations of what was expected; 0 means any.
func (f *Fit) Update(x []float64, y, noise, outlier float64) {
	n := len(x)
	px := make([]float64, n)
	predicted, variance := 0.0, noise
	for i := range n {
		for j := range n {
			px[i] += f.cov[i][j] * x[j]
		}
		predicted += f.beta[i] * x[i]
	}
	for i := range n {
		variance += x[i] * px[i]
	}
	off := y - predicted
	if most := outlier * math.Sqrt(max(variance, noise)); most > 0 {
		off = max(-most, min(most, off))
	}
	for i := range n {
		f.beta[i] += px[i] / variance * off
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= px[i] * px[j] / variance
		}
	}
}

// mostHalves bounds the half lives that count: by then nothing is left of what was
// observed, and figures stay finite.
const mostHalves = 40

// Growth is by how much variances grow over a span, with a half life.
func Growth(span, half time.Duration) float64 {
	return math.Exp2(min(mostHalves, float64(span)/float64(half)))
}
