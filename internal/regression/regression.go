// Package regression fits linear models to a sequence of observations by recursive least
// squares, with a Gaussian prior for each coefficient.
package regression

import (
	"math"
	"time"
)

// Fit is a linear model fitted by recursive least squares. Coefficients are added one by
// one, each with a prior. Fit doesn't discount old observations by itself; the caller does so
// with Widen. The zero value has no coefficients. It is not safe for concurrent use.
type Fit struct {
	beta []float64
	cov  [][]float64
}

// Size returns the number of coefficients.
func (f *Fit) Size() int { return len(f.beta) }

// Beta returns the estimate of coefficient i.
func (f *Fit) Beta(i int) float64 { return f.beta[i] }

// Bound raises the estimates of coefficients that are below least to least.
func (f *Fit) Bound(least float64) {
	for i := range f.beta {
		f.beta[i] = max(least, f.beta[i])
	}
}

// Variance returns the variance of the estimate of coefficient i.
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

// Reset gives coefficient i a new prior, which is independent of the other coefficients.
func (f *Fit) Reset(i int, mean, variance float64) {
	f.beta[i] = mean
	f.shrink(i, 0)
	f.cov[i][i] = variance
}

// Widen multiplies the covariance matrix by factor, so that later observations weigh
// more. A variance above its limit is reduced to it, with its covariances in proportion.
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

// shrink multiplies the standard error of coefficient i by a factor, and its covariances
// with it.
func (f *Fit) shrink(i int, by float64) {
	for j := range f.cov {
		f.cov[i][j] *= by
		f.cov[j][i] *= by
	}
}

// Update adds an observation y of the sum of the coefficients weighted by x, where noise
// is the variance of y. A deviation from the prediction of more than outlier standard
// deviations counts as that many; 0 means no bound.
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
	residual := y - predicted
	if most := outlier * math.Sqrt(max(variance, noise)); most > 0 {
		residual = max(-most, min(most, residual))
	}
	for i := range n {
		f.beta[i] += px[i] / variance * residual
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= px[i] * px[j] / variance
		}
	}
}

// maxHalfLives bounds the exponent in Growth. After this many half-lives the earlier
// observations have no influence, and the result stays finite.
const maxHalfLives = 40

// Growth returns the factor for Widen by which variances grow in span, if the weight of
// an observation halves in each halfLife.
func Growth(span, halfLife time.Duration) float64 {
	return math.Exp2(min(maxHalfLives, float64(span)/float64(halfLife)))
}
