package soak

import (
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// evacuatedZone is the zone that is evacuated, in which one of evacuatedEvery upstreams
	// of the pool is.
	evacuatedZone  = ident.Zone("b")
	evacuatedEvery = 3
	// evacuateTime is the time after which an evacuated zone must get no more requests, and
	// evacuationLength how long an evacuation lasts.
	evacuateTime     = 5 * time.Second
	evacuationLength = 9 * time.Second
	// evacuationInterval is to how many faults there is one evacuation, and evacuationStream
	// the stream of random numbers that draws them.
	evacuationInterval = 6
	evacuationStream   = 1 << 41
)

// zoneOf returns the zone of the nth upstream of the pool. An empty one is the default.
func zoneOf(n int) ident.Zone {
	if n%evacuatedEvery == evacuatedEvery-1 {
		return evacuatedZone
	}
	return ""
}

// evacuateZone has an operator evacuate a zone for a while. Routers of an earlier program know
// nothing of that.
func (schedule *schedule) evacuateZone() {
	soak := schedule.soak
	if soak.options.Previous != "" || !schedule.claim(evacuatedZone) {
		return
	}
	soak.countPlanned("zone evacuated")
	from := time.Now()
	soak.setEvacuated(true)
	schedule.healAfter(evacuationLength, func() {
		soak.checkEvacuated(from, time.Now())
		soak.setEvacuated(false)
		schedule.release(evacuatedZone)
	})
}

// setEvacuated writes the row of an evacuation, or removes it.
func (soak *Soak) setEvacuated(evacuated bool) {
	for _, upstream := range soak.upstreams {
		if upstream.runner.Zone == evacuatedZone {
			upstream.setEvacuated(evacuated)
		}
	}
	soak.mu.Lock()
	soak.evacuated = evacuated
	soak.mu.Unlock()
	soak.writeEvacuation()
}

// writeEvacuation writes, or removes, the row of the evacuation as the operator last wanted it.
func (soak *Soak) writeEvacuation() {
	soak.mu.Lock()
	evacuated := soak.evacuated
	soak.mu.Unlock()
	if evacuated {
		soak.store.Write(platform.EncodeEvacuation(evacuation.State{Zone: evacuatedZone, Evacuated: true}))
		return
	}
	soak.store.Remove(platform.EvacuationName(evacuatedZone))
}

// setEvacuated records that the zone of the upstream is evacuated, or no longer.
func (upstream *upstream) setEvacuated(evacuated bool) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.evacuated = evacuated
	if !evacuated && !upstream.servesFrom.IsZero() {
		upstream.servesFrom = time.Now()
	}
}

// checkEvacuated checks that no request ran in the zone that was evacuated, from evacuateTime
// after its row was written until its removal. A run is excused if a fault was active in the
// time that routers have to learn of the evacuation, but for those of upstreams.
func (soak *Soak) checkEvacuated(from, until time.Time) {
	for _, upstream := range soak.upstreams {
		if upstream.runner.Zone != evacuatedZone {
			continue
		}
		for _, at := range soak.runLog.timesAt(upstream.runner.ID) {
			if at.After(from.Add(evacuateTime)) && at.Before(until) && soak.inTouch(at.Add(-evacuateTime), at) {
				soak.violate("work for an evacuated zone", "a request ran at %s %v after the row of the evacuation was written", upstream.runner.ID, at.Sub(from))
				return
			}
		}
	}
}
