package cost

import (
	"math"
	"time"
)

// maxTerms is the largest number of terms of a fit.
const maxTerms = 4

// terms are the values, or the coefficients, of the terms of a fit.
type terms [maxTerms]float64

func (values terms) dot(coefficients terms) float64 {
	sum := 0.0
	for i, value := range values {
		sum += value * coefficients[i]
	}
	return sum
}

// prior describes the coefficients of a fit without observations.
type prior struct {
	// mean holds the coefficients and deviation how far each may be off: a coefficient
	// with a zero deviation is fixed.
	mean, deviation terms
	// low and high bound the coefficients. A coefficient is not above that of the term
	// atMost either, if that is set.
	low, high terms
	atMost    [maxTerms]int
	// floor is the smallest prediction, and outlier the largest ratio of an observation
	// to its prediction that counts: one above it counts as one at the ratio.
	floor   float64
	outlier float64
}

// noise is the assumed deviation of an observation, as a share of its prediction.
const noise = 0.4

// fit is a linear least-squares fit of positive values, weighted by the square of the
// inverse prediction and by age. Its zero value has no observations.
type fit struct {
	products     [maxTerms][maxTerms]float64
	values       terms
	weight       float64
	at           time.Time
	coefficients terms
}

// predict returns the value that is expected for x.
func (fit *fit) predict(prior *prior, x terms) float64 {
	coefficients := fit.coefficients
	if fit.weight == 0 {
		coefficients = prior.mean
	}
	return max(x.dot(coefficients), prior.floor)
}

// observe adds an observation. Once there are minObservations, one far above its
// prediction counts as prior.outlier times it.
func (fit *fit) observe(now time.Time, prior *prior, x terms, value float64) {
	predicted := fit.predict(prior, x)
	if fit.weight >= minObservations {
		value = min(value, prior.outlier*predicted)
	}
	decay := decayed(fit.at, now, serviceMemory)
	fit.at = latest(fit.at, now)
	fit.weight = fit.weight*decay + 1
	weight := 1 / (predicted * predicted)
	for i := range x {
		fit.values[i] = fit.values[i]*decay + weight*x[i]*value
		for j := range x {
			fit.products[i][j] = fit.products[i][j]*decay + weight*x[i]*x[j]
		}
	}
	fit.solve(prior)
}

// solve computes the coefficients from the observations and the prior. One that is out of
// its bounds is set to the bound, and the others are computed again.
func (fit *fit) solve(prior *prior) {
	matrix, right := fit.products, fit.values
	for i, deviation := range prior.deviation {
		if deviation > 0 {
			precision := noise * noise / (deviation * deviation)
			matrix[i][i] += precision
			right[i] += precision * prior.mean[i]
		}
	}
	fixed, values := [maxTerms]bool{}, prior.mean
	for i, deviation := range prior.deviation {
		fixed[i] = deviation == 0
	}
	for range maxTerms {
		solved := eliminate(substituted(matrix, right, fixed, values))
		inBounds := true
		for i, coefficient := range solved {
			if fixed[i] {
				continue
			}
			high := prior.high[i]
			if other := prior.atMost[i]; other > 0 {
				high = min(high, max(solved[other], prior.low[i]))
			}
			if bounded := min(max(coefficient, prior.low[i]), high); bounded != coefficient {
				fixed[i], values[i], inBounds = true, bounded, false
			}
		}
		fit.coefficients = solved
		if inBounds {
			return
		}
	}
	fit.coefficients = values
}

// substituted returns a system of linear equations in which some unknowns have the given
// values.
func substituted(matrix [maxTerms][maxTerms]float64, right terms, fixed [maxTerms]bool, values terms) ([maxTerms][maxTerms]float64, terms) {
	for i := range matrix {
		if !fixed[i] {
			continue
		}
		for row := range matrix {
			right[row] -= matrix[row][i] * values[i]
			matrix[row][i], matrix[i][row] = 0, 0
		}
		matrix[i][i], right[i] = 1, values[i]
	}
	return matrix, right
}

// eliminate solves a system of linear equations by Gaussian elimination. The matrix is
// positive definite, apart from rows of the identity, so that no pivoting is needed.
func eliminate(matrix [maxTerms][maxTerms]float64, right terms) terms {
	for pivot := range matrix {
		for row := pivot + 1; row < maxTerms; row++ {
			factor := matrix[row][pivot] / matrix[pivot][pivot]
			for column := pivot; column < maxTerms; column++ {
				matrix[row][column] -= factor * matrix[pivot][column]
			}
			right[row] -= factor * right[pivot]
		}
	}
	var solution terms
	for row := maxTerms - 1; row >= 0; row-- {
		sum := right[row]
		for column := row + 1; column < maxTerms; column++ {
			sum -= matrix[row][column] * solution[column]
		}
		solution[row] = sum / matrix[row][row]
	}
	return solution
}

// decayed returns the weight that what was learned at before still has at now.
func decayed(before, now time.Time, memory time.Duration) float64 {
	if before.IsZero() || !now.After(before) {
		return 1
	}
	return math.Exp(-now.Sub(before).Seconds() / memory.Seconds())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
