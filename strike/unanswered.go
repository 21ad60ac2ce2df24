package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// Unanswered records that an upstream took the request and gave no answer while
// its caller waited. It counts as a strike if Ended or Ejected follows soon.
func (guard *Guard) Unanswered(request Request, strike Strike) {
	guard.addUnanswered(run{strike: strike, request: request})
}

// Waiting records that an upstream took the request and has given no answer for long. It
// counts as a strike if Ended follows soon.
func (guard *Guard) Waiting(request Request, strike Strike) {
	guard.addUnanswered(run{strike: strike, request: request, waiting: true})
}

func (guard *Guard) addUnanswered(added run) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if len(guard.unanswered) >= maxUnanswered {
		guard.unanswered = guard.unanswered[1:]
	}
	guard.unanswered = append(guard.unanswered, added)
}

// Ended records that an upstream no longer runs, or can't be reached, as any incarnation
// but the given one; zero means not at all.
func (guard *Guard) Ended(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation) {
	guard.countUnanswered(now, func(run run) bool {
		return run.strike.Upstream == upstream && run.strike.Incarnation != incarnation
	})
}

// Ejected records that an upstream is ejected, since it gives no answers.
func (guard *Guard) Ejected(now time.Time, upstream ident.UpstreamID) {
	guard.countUnanswered(now, func(run run) bool { return run.strike.Upstream == upstream && !run.waiting })
}

// countUnanswered counts the unanswered runs that crashed their upstreams.
func (guard *Guard) countUnanswered(now time.Time, crashed func(run run) bool) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	remaining := guard.unanswered[:0]
	for _, run := range guard.unanswered {
		switch {
		case !crashed(run):
			remaining = append(remaining, run)
		case now.Sub(run.strike.At) <= unansweredLifetime:
			guard.countOwn(now, run)
		}
	}
	guard.unanswered = remaining
}
