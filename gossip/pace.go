package gossip

import "time"

const (
	// sendInterval is the minimum time between two messages to the same router.
	sendInterval = 100 * time.Millisecond
	// checkInterval is the time between two checks of whether a message is due.
	checkInterval = 50 * time.Millisecond
	// helloInterval is the time between two hellos to a router that sends messages and has
	// not answered one: it may run an earlier program.
	helloInterval = 500 * time.Millisecond
	// layoutInterval is the time after which the routers that run are looked at again.
	layoutInterval = 200 * time.Millisecond
	// keepaliveInterval is the least time between two messages without new content. It is
	// at least the pause between two messages times keepalivePauses.
	keepaliveInterval = 400 * time.Millisecond
	keepalivePauses   = 5
	// stateInterval is the least time between two summaries whose only content is states
	// of routers. It is at least the pause times statePauses.
	stateInterval = 400 * time.Millisecond
	statePauses   = 2
	// maxSendsPerSecond limits the datagrams that a router sends per second: with
	// many partners the time between two messages is longer.
	maxSendsPerSecond = 120
	// brokenPauseDivisor shortens the time between two messages after a broken
	// connection or a strike, so that other routers learn of it sooner.
	brokenPauseDivisor = 3
	// missedKeepalives is how many messages without new content may be lost before
	// their sender is assumed not to run.
	missedKeepalives = 3
	// A router that was silent for missedAfter, and for missedPauses times the
	// time between two messages, may have missed some.
	missedAfter  = 1500 * time.Millisecond
	missedPauses = 3
	// minMemberTimeout is how long after its last Message a router of the group is
	// assumed to send the group's sum to its receivers, at least.
	minMemberTimeout = time.Second
)

// pause returns the mean time between two messages to the same router, which grows
// with the number of partners. The caller holds mu.
func (gossip *Gossip) pause() time.Duration {
	return time.Duration(gossip.topology.sends) * time.Second / maxSendsPerSecond
}

// keepalive returns the time between two messages without new content. The caller holds
// mu.
func (gossip *Gossip) keepalive() time.Duration {
	return max(keepaliveInterval, keepalivePauses*gossip.pause())
}

// statePause returns the time between two messages if others rely on the state of this
// router, or of one in its group. The caller holds mu.
func (gossip *Gossip) statePause() time.Duration {
	return max(stateInterval, statePauses*gossip.pause())
}

// silence returns how long a router may be silent at least before it counts as away, unless
// so few messages without new content come that more time is needed. The caller holds mu.
func (gossip *Gossip) silence(least time.Duration) time.Duration {
	return max(least, missedKeepalives*gossip.keepalive())
}

// Delay returns the time within which what a router says of the store reaches every
// other one unless messages are lost.
func (gossip *Gossip) Delay() time.Duration {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if gossip.topology.own == (group{}) {
		return gossip.statePause()
	}
	return 2 * gossip.statePause()
}
