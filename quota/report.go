package quota

import (
	"slices"
	"time"
)

const (
	// sendsPerChange is the number of messages to other routers that carry a change.
	sendsPerChange = 2
	// maxPerMessage limits the limits in one message.
	maxPerMessage = 500
	// liftedLifetime is how long routers that missed it are notified that a limit is gone.
	liftedLifetime = time.Minute
)

// Pending reports whether there is a change to tell other routers.
func (tracker *Tracker) Pending() bool {
	if tracker == nil {
		return false
	}
	return tracker.PendingLimits() || tracker.PendingColds() > 0
}

// PendingLimits reports whether there is a change of a limit to tell other routers.
func (tracker *Tracker) PendingLimits() bool {
	if tracker == nil {
		return false
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, bucket := range tracker.buckets {
		if bucket.sends > 0 {
			return true
		}
	}
	return false
}

// PendingColds returns of how many cold upstreams there is news to tell other routers.
func (tracker *Tracker) PendingColds() int {
	if tracker == nil {
		return 0
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	count := 0
	for _, state := range tracker.colds {
		if state.sends > 0 {
			count++
		}
	}
	return count
}

// TakeReport returns what the next message to the other routers has to say: the limits
// that changed lately, or with repeat all of them.
func (tracker *Tracker) TakeReport(now time.Time, repeat bool) []Limit {
	return tracker.report(now, repeat, true)
}

// All returns all limits that are in force or were until lately, for a router that has
// just started.
func (tracker *Tracker) All(now time.Time) []Limit { return tracker.report(now, true, false) }

// report returns the limits that changed lately, or all, and counts a message with them
// if taken is set.
func (tracker *Tracker) report(now time.Time, all, taken bool) []Limit {
	if tracker == nil {
		return nil
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var limits []Limit
	for _, bucket := range tracker.buckets {
		inForce := !bucket.Lifted || now.Sub(bucket.SeenAt) <= liftedLifetime
		if bucket.sends == 0 && !(all && inForce) || len(limits) == maxPerMessage {
			continue
		}
		limits = append(limits, bucket.Limit)
		if taken && bucket.sends > 0 {
			bucket.sends--
		}
	}
	slices.SortFunc(limits, byUpstream)
	return limits
}
