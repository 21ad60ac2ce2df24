package http1

import "time"

// peerIdentity is what is known of which process the connections of a pool reach. One process
// may end and another one start at its address; the connections to the first break.
type peerIdentity struct {
	// brokenAt is when a connection was last found closed by the peer or could not be
	// opened, until a later one is verified. Connections that were opened after
	// doubtedAfter may reach another process then.
	brokenAt     time.Time
	doubtedAfter time.Time
}

// recordBreak records that a connection was found broken.
func (identity *peerIdentity) recordBreak(now time.Time) {
	if identity.brokenAt.IsZero() {
		identity.doubtedAfter = now
	}
	identity.brokenAt = now
}

// refute puts all connections in doubt: one of them reached another process.
func (identity *peerIdentity) refute(now time.Time) {
	identity.brokenAt, identity.doubtedAfter = now, time.Time{}
}

// doubts reports whether a connection that was opened at the given time may reach another
// process, since one broke.
func (identity *peerIdentity) doubts(openedAt time.Time) bool {
	return !identity.brokenAt.IsZero() && identity.doubtedAfter.Before(openedAt)
}

// verify ends the doubt about connections that were opened until the given time, at which
// the peer was the right one, and about all if none broke since.
func (identity *peerIdentity) verify(openedAt time.Time) {
	if identity.brokenAt.Before(openedAt) {
		identity.brokenAt = time.Time{}
		return
	}
	if identity.doubtedAfter.Before(openedAt) {
		identity.doubtedAfter = openedAt
	}
}
