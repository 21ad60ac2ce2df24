package forward

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/memory"
)

const (
	// minStall is how long a caller must have neither sent nor read for its connection to be
	// closed because of the bound, if it has a request.
	minStall = time.Second
	// maxVictims limits how many connections are tried to make room for one.
	maxVictims = 4
)

// CallerConns tracks the open connections of a listener, and bounds them. The zero value is
// ready to use, without a bound; Track is the ConnState callback of an http.Server. It is safe
// for concurrent use.
type CallerConns struct {
	// Max is the most connections that are open; zero means no bound. It is set before use.
	Max int
	// OnBound, if set, is called when a connection is closed because there are Max, with the
	// reason. It must not block.
	OnBound func(reason BoundReason)
	// Stalls, unless nil, says when the process stood still, so that callers made no progress. It
	// is set before use.
	Stalls *memory.Stalls

	mu sync.Mutex
	// states holds the state of each open connection.
	states map[net.Conn]connState
	// idleTimeout is how long a connection may be idle, as of the last CloseExpired.
	idleTimeout time.Duration
}

// connState is the state of a connection, and since when it has it. An idle one may stay so
// until keptUntil.
type connState struct {
	state     http.ConnState
	since     time.Time
	keptUntil time.Time
}

// BoundReason says why a connection was closed at the bound.
type BoundReason string

// The connections that are closed at the bound, in this order.
const (
	// BoundIdle is a connection without a request, the one that has been idle longest.
	BoundIdle BoundReason = "idle"
	// BoundHead is a connection whose head has not ended.
	BoundHead BoundReason = "head"
	// BoundStalled is a connection whose caller neither sends its body nor reads its answer.
	BoundStalled BoundReason = "stalled"
	// BoundNew is the newest one, as all others have requests that make progress.
	BoundNew BoundReason = "new"
)

// Track records the new state of a connection. A new one beyond Max takes the place of
// another.
func (callerConns *CallerConns) Track(conn net.Conn, state http.ConnState) {
	if checked, ok := conn.(*checkedConn); ok && state == http.StateIdle {
		checked.endRequest()
		// The caller owes nothing between requests.
		checked.endWait()
	}
	if checked, ok := conn.(*checkedConn); ok && state == http.StateClosed {
		checked.reportUnhandled()
	}
	if callerConns.record(conn, state) {
		callerConns.makeRoom(time.Now(), conn)
	}
}

// record records the new state of a connection, and reports whether there are too many.
func (callerConns *CallerConns) record(conn net.Conn, state http.ConnState) bool {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(callerConns.states, conn)
		return false
	}
	if callerConns.states == nil {
		callerConns.states = make(map[net.Conn]connState)
	}
	now := time.Now()
	callerConns.states[conn] = connState{state: state, since: now, keptUntil: now.Add(callerConns.idleTimeout)}
	return state == http.StateNew && callerConns.Max > 0 && len(callerConns.states) > callerConns.Max && callerConns.staying() > callerConns.Max
}

// staying returns how many connections are not being closed. The caller holds mu.
func (callerConns *CallerConns) staying() int {
	staying := 0
	for conn := range callerConns.states {
		if checked, ok := conn.(*checkedConn); !ok || !checked.isClosing() {
			staying++
		}
	}
	return staying
}

// makeRoom closes a connection to make room for added, or added itself.
func (callerConns *CallerConns) makeRoom(now time.Time, added net.Conn) {
	tried := map[net.Conn]bool{added: true}
	for range maxVictims {
		victim, reason := callerConns.victim(now, added, tried)
		tried[victim] = true
		if callerConns.closeAtBound(victim, reason) {
			callerConns.recordClosed(victim, reason)
			return
		}
	}
	callerConns.closeAtBound(added, BoundNew)
	callerConns.recordClosed(added, BoundNew)
}

// recordClosed records that a connection was closed at the bound, or that its goroutine closes it
// unless it has read bytes: until then it remains tracked.
func (callerConns *CallerConns) recordClosed(conn net.Conn, reason BoundReason) {
	if checked, ok := conn.(*checkedConn); !ok || checked.isClosed() {
		callerConns.mu.Lock()
		delete(callerConns.states, conn)
		callerConns.mu.Unlock()
	}
	if callerConns.OnBound != nil {
		callerConns.OnBound(reason)
	}
}

// closeAtBound closes a connection, unless the reason does not hold any more: an idle one has
// brought bytes, a head has ended, or a stalled caller has made progress. It reports whether it
// closes the connection, or its goroutine does.
func (callerConns *CallerConns) closeAtBound(victim net.Conn, reason BoundReason) bool {
	checked, isChecked := victim.(*checkedConn)
	switch {
	case isChecked && reason == BoundIdle:
		return checked.closeUnused(reason.closeReason())
	case isChecked && reason == BoundHead:
		return checked.closeHalfRead(reason.closeReason(), time.Now())
	case isChecked && reason == BoundStalled:
		return callerConns.closeIfStalled(checked)
	case isChecked:
		checked.closeFor(reason.closeReason())
	default:
		// The caller sees the close; an error would change nothing.
		_ = victim.Close()
	}
	return true
}

// closeIfStalled closes a connection whose caller stalls, and reports whether it did. The state of
// the connection does not change meanwhile.
func (callerConns *CallerConns) closeIfStalled(checked *checkedConn) bool {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	current, open := callerConns.states[checked]
	switch {
	case !open || current.state != http.StateActive:
		return false
	case checked.stalledFor(time.Now(), callerConns.Stalls) <= minStall:
		return false
	}
	if !checked.answering.Load() {
		return checked.endStalledRead(BoundStalled.closeReason())
	}
	checked.closeFor(BoundStalled.closeReason())
	return true
}

// victim returns the connection that is closed to make room for added, and the reason. It leaves
// out those that were tried.
func (callerConns *CallerConns) victim(now time.Time, added net.Conn, tried map[net.Conn]bool) (net.Conn, BoundReason) {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	var idle, head, stalled net.Conn
	var idleSince, headSince time.Time
	longest := minStall
	for conn, current := range callerConns.states {
		checked, isChecked := conn.(*checkedConn)
		switch {
		case tried[conn], isChecked && checked.isClosing():
		case current.state == http.StateActive:
			if isChecked && checked.stalledFor(now, callerConns.Stalls) > longest {
				stalled, longest = conn, checked.stalledFor(now, callerConns.Stalls)
			}
		case !isChecked || !checked.hasRequest():
			if idle == nil || current.since.Before(idleSince) {
				idle, idleSince = conn, current.since
			}
		default:
			start := checked.requestStart()
			if callerConns.Stalls.Waited(now, start) > minStall && (head == nil || start.Before(headSince)) {
				head, headSince = conn, start
			}
		}
	}
	switch {
	case idle != nil:
		return idle, BoundIdle
	case head != nil:
		return head, BoundHead
	case stalled != nil:
		return stalled, BoundStalled
	}
	return added, BoundNew
}

// Open returns the number of open connections.
func (callerConns *CallerConns) Open() int {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return len(callerConns.states)
}

// CloseIdle closes the connections that have been without a request in progress since
// before the given time.
func (callerConns *CallerConns) CloseIdle(before time.Time) {
	callerConns.closeIf(http.StateIdle, func(current connState) bool { return current.since.Before(before) }, CloseIdle)
}

// CloseExpired closes the connections that have been idle for longer than idleTimeout, and than
// each one that was in force since they became idle: after a change to a shorter one their callers
// may still count on that.
func (callerConns *CallerConns) CloseExpired(now time.Time, idleTimeout time.Duration) {
	callerConns.setIdleTimeout(idleTimeout)
	callerConns.closeIf(http.StateIdle, func(current connState) bool { return current.keptUntil.Before(now) }, CloseIdle)
}

// setIdleTimeout lets connections be idle for the given time, or longer if they may already.
func (callerConns *CallerConns) setIdleTimeout(idleTimeout time.Duration) {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	callerConns.idleTimeout = idleTimeout
	for conn, current := range callerConns.states {
		if keptUntil := current.since.Add(idleTimeout); keptUntil.After(current.keptUntil) {
			current.keptUntil = keptUntil
			callerConns.states[conn] = current
		}
	}
}

// CloseUnused closes the connections that were opened before the given time and have
// brought no byte.
func (callerConns *CallerConns) CloseUnused(before time.Time) {
	callerConns.closeIf(http.StateNew, func(current connState) bool { return current.since.Before(before) }, CloseUnused)
}

// CloseHalfRead closes the connections whose next request has begun, but has brought no byte
// since the given time: net/http waits for the first bytes of it without a bound.
func (callerConns *CallerConns) CloseHalfRead(before time.Time) {
	for _, conn := range callerConns.tracked() {
		current, open := callerConns.current(conn)
		if checked, ok := conn.(*checkedConn); ok && open && current.state == http.StateIdle {
			checked.closeHalfRead(CloseHalfRead, before)
		}
	}
}

// closeIf closes the connections in a state for which expired returns true, unless bytes have
// come.
func (callerConns *CallerConns) closeIf(state http.ConnState, expired func(connState) bool, reason CloseReason) {
	for _, conn := range callerConns.tracked() {
		// It may have got a request while others were closed.
		current, open := callerConns.current(conn)
		if !open || current.state != state || !expired(current) {
			continue
		}
		if checked, ok := conn.(*checkedConn); ok {
			checked.closeUnused(reason)
			continue
		}
		// The caller sees the close; an error would change nothing.
		_ = conn.Close()
	}
}

// tracked returns the open connections.
func (callerConns *CallerConns) tracked() []net.Conn {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return slices.Collect(maps.Keys(callerConns.states))
}

// current returns the state of a connection, and whether it is open.
func (callerConns *CallerConns) current(conn net.Conn) (connState, bool) {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	current, open := callerConns.states[conn]
	return current, open
}
