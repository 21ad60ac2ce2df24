package cost

import (
	"math"
	"time"
)

// decayingMean is a mean of values whose weights decay with their age.
type decayingMean struct {
	weight, sum float64
	at          time.Time
}

// add adds a value and returns the factor by which the weights of the others have decayed.
func (mean *decayingMean) add(now time.Time, memory time.Duration, value, weight float64) float64 {
	decay := decayed(mean.at, now, memory)
	mean.at = latest(mean.at, now)
	mean.weight = mean.weight*decay + weight
	mean.sum = mean.sum*decay + weight*value
	return decay
}

// mean returns the mean, or zero without values.
func (mean *decayingMean) mean() float64 {
	if mean.weight == 0 {
		return 0
	}
	return mean.sum / mean.weight
}

// shrunk returns the mean with so many values of wider added. A nil decayingMean has none.
func (mean *decayingMean) shrunk(wider, values float64) float64 {
	if mean == nil {
		return wider
	}
	return (mean.sum + values*wider) / (mean.weight + values)
}

// evidence is a decaying mean of the logarithms of ratios, with their spread.
type evidence struct {
	decayingMean
	squares float64
}

func (evidence *evidence) add(now time.Time, memory time.Duration, logRatio, weight float64) {
	decay := evidence.decayingMean.add(now, memory, logRatio, weight)
	evidence.squares = evidence.squares*decay + weight*logRatio*logRatio
}

// minVariance is the smallest variance that is assumed of the logarithms of ratios.
const minVariance = 0.01

func (evidence *evidence) variance() float64 {
	if evidence.weight == 0 {
		return minVariance
	}
	mean := evidence.mean()
	return max(evidence.squares/evidence.weight-mean*mean, minVariance)
}

// limitedLog returns the logarithm of a ratio, which counts as limit or its negative if it
// is beyond these.
func limitedLog(ratio, limit float64) float64 {
	return min(max(math.Log(ratio), -limit), limit)
}

// significance is how many standard errors the mean of an upstream has to differ from
// that of its service to count as different at all.
const significance = 2.5

// shrink returns the part of the mean deviation of an upstream that counts, given the
// precision of the mean (its inverse variance): nothing up to significance standard
// errors and nearly all of it far beyond (the non-negative garrote).
func shrink(mean, precision float64) float64 {
	squared := mean * mean * precision
	if squared <= significance*significance {
		return 0
	}
	return mean * (1 - significance*significance/squared)
}
