package cost

import (
	"math"
	"time"
)

// evidence is a decaying mean of the logarithms of ratios, with their spread.
type evidence struct {
	weight, sum, squares float64
	at                   time.Time
}

func (evidence *evidence) add(now time.Time, memory time.Duration, logRatio, weight float64) {
	decay := decayed(evidence.at, now, memory)
	evidence.at = latest(evidence.at, now)
	evidence.weight = evidence.weight*decay + weight
	evidence.sum = evidence.sum*decay + weight*logRatio
	evidence.squares = evidence.squares*decay + weight*logRatio*logRatio
}

func (evidence *evidence) mean() float64 {
	if evidence.weight == 0 {
		return 0
	}
	return evidence.sum / evidence.weight
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
