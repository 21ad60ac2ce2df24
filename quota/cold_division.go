package quota

import (
	"math"
	"time"
)

const (
	// sharedAllowance is the part of what a cold upstream may get in a second that routers
	// which agree use at most. Half as many again may share by an outdated view.
	sharedAllowance = 2.0 / 3
	// arrivalStretch is by how much longer than a second the requests of one second at an
	// upstream may have been sent in.
	arrivalStretch = 1.1
	// maxSaved limits how many requests a router may save up.
	maxSaved = 2
	// roundingMargin keeps what a router may send below the next whole request.
	roundingMargin = 0.01
	// requestGap is the mean time between two requests of a router for an upstream while
	// requests wait.
	requestGap = 50 * time.Millisecond
	// leastPart is the least part of the rate that is shared out, and partStep the step in
	// which parts are considered. A smaller part leaves room for more saved requests.
	leastPart = 0.8
	partStep  = 0.02
	// useMargin is by how much of the rate a division with fewer routers has to be better.
	useMargin = 0.005
)

// coldDivision is how routers share the rate of a cold upstream: sharing of them may each
// send perSecond requests a second, and save up to saved, one at least.
type coldDivision struct {
	sharing   int
	perSecond float64
	saved     float64
}

// divideCold returns how a number of routers share the rate of a cold upstream: so that each of
// them can send all that it may in a second, saved requests included, within sharedAllowance,
// and most of the rate is used.
func divideCold(rule ColdRule, routers int) coldDivision {
	allowance := sharedAllowance * (rule.PerSecond*rule.Overage + rule.Slack)
	best := coldDivision{sharing: 1, perSecond: minPerSecond, saved: 1}
	bestUse := 0.0
	for sharing := int(min(float64(routers), math.Floor(allowance))); sharing >= 1; sharing-- {
		// A router with s saved sends at most s plus its share of the time, rounded down.
		most := math.Floor(allowance/float64(sharing)) + 1 - roundingMargin
		for part := 1.0; part >= leastPart; part -= partStep {
			share := min(part*rule.PerSecond/float64(sharing), (most-1)/arrivalStretch)
			// Rounding may leave a little less than one.
			saved := max(min(most-share*arrivalStretch, maxSaved), 1)
			division := coldDivision{sharing: sharing, perSecond: share, saved: saved}
			// Of divisions that are nearly as good, the one with most routers is best.
			if use := division.use(); use > bestUse+useMargin*rule.PerSecond {
				best, bestUse = division, use
			}
		}
	}
	return best
}

// use returns how many requests a second an upstream is expected to get. While a router that
// has saved up all that it may waits for the next request, its share is lost.
func (division coldDivision) use() float64 {
	inGap := division.perSecond * requestGap.Seconds()
	lost := inGap * math.Exp(-(division.saved-1)/inGap)
	return float64(division.sharing) * division.perSecond / (1 + lost)
}
