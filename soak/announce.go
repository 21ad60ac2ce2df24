package soak

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// minRest and maxRest bound the rests that upstreams ask for, and restGrace is how long a
	// router may still send after it was asked for one.
	minRest   = time.Second
	maxRest   = 2500 * time.Millisecond
	restGrace = 500 * time.Millisecond
	// maxInRest is how many requests may reach an upstream during a rest.
	maxInRest = 2
)

// sender is the run of a router that a caller's request was sent to.
type sender struct {
	router *router
	run    int
	sentAt time.Time
}

// arrival is a request that reached an upstream.
type arrival struct {
	attempt ident.AttemptID
	at      time.Time
}

// recordSender records the router of a call, before it is sent.
func (soak *Soak) recordSender(call *call) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	if soak.senders == nil {
		soak.senders = make(map[ident.AttemptID]sender)
	}
	soak.senders[call.attempt] = sender{router: call.router, run: call.router.incarnation(), sentAt: call.sentAt}
}

// senderOf returns the sender of an attempt, and whether it is known.
func (soak *Soak) senderOf(attempt ident.AttemptID) (sender, bool) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	sender, found := soak.senders[attempt]
	return sender, found
}

// rest is the time for which an upstream wants no request from the run of a router.
type rest struct {
	router *router
	run    int
	from   time.Time
	until  time.Time
}

// recordArrival records a request that reached the upstream.
func (upstream *upstream) recordArrival(attempt ident.AttemptID) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.arrivals = append(upstream.arrivals, arrival{attempt: attempt, at: time.Now()})
}

// recordRefusal records a request that the upstream turned away.
func (upstream *upstream) recordRefusal(attempt ident.AttemptID, until time.Time) {
	sender, known := upstream.soak.senderOf(attempt)
	if !known || sender.router.earlier() {
		return
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.rests = append(upstream.rests, rest{router: sender.router, run: sender.run, from: time.Now().Add(restGrace), until: until})
}

// upstreamRefuses has an upstream turn requests away and ask for rest.
func (schedule *schedule) upstreamRefuses(length time.Duration) {
	upstream := schedule.upstream()
	asked := minRest + time.Duration(schedule.random.Int64N(int64(maxRest-minRest)))
	if !schedule.claim(upstream) {
		return
	}
	schedule.soak.countPlanned("upstream asks for rest")
	upstream.runner.Refuse(asked)
	schedule.healAfter(length, func() {
		upstream.runner.Refuse(0)
		time.Sleep(asked)
		schedule.soak.checkRests(upstream)
		schedule.release(upstream)
	})
}

// checkRests checks that an upstream got no requests from routers that it had asked for
// rest, while they ran without a fault.
func (soak *Soak) checkRests(upstream *upstream) {
	upstream.mu.Lock()
	rests, arrivals := upstream.rests, upstream.arrivals
	upstream.rests, upstream.arrivals = nil, nil
	upstream.mu.Unlock()
	for _, rest := range rests {
		if !soak.undisturbed(rest.from.Add(-restGrace), rest.until) {
			continue
		}
		count := 0
		for _, arrival := range arrivals {
			sender, known := soak.senderOf(arrival.attempt)
			if known && sender.router == rest.router && sender.run == rest.run && arrival.at.After(rest.from) && arrival.at.Before(rest.until) {
				count++
			}
		}
		if count > maxInRest {
			soak.violate("work for a resting upstream", "%s got %d requests from %s in the %v after it had asked for rest", upstream.runner.ID, count, rest.router.name, rest.until.Sub(rest.from))
		}
	}
}

// leavingNotice is the first answer of a leaving upstream that the run of a router passed on.
type leavingNotice struct {
	sender sender
	at     time.Time
}

// recordLeaving records that a router passed on an answer of an upstream that leaves.
func (soak *Soak) recordLeaving(call *call) {
	sender, known := soak.senderOf(call.attempt)
	runs := soak.runLog.runsOf(call.attempt)
	if !call.reply.Leaving || !known || len(runs) != 1 {
		return
	}
	for _, upstream := range soak.upstreams {
		if upstream.runner.ID == runs[0].upstream {
			upstream.recordLeaving(leavingNotice{sender: sender, at: call.endedAt})
		}
	}
}

func (upstream *upstream) recordLeaving(notice leavingNotice) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.notices = append(upstream.notices, notice)
}

// upstreamLeavesUnlisted has an upstream say in its answers that it leaves, while its row
// says that it is ready.
func (schedule *schedule) upstreamLeavesUnlisted(time.Duration) {
	const leaveTime = 4 * time.Second
	upstream := schedule.upstream()
	if !schedule.claim(upstream) {
		return
	}
	schedule.soak.countPlanned("upstream says that it leaves")
	upstream.clearNotices()
	began := time.Now()
	upstream.runner.Announce()
	schedule.healAfter(leaveTime, func() {
		schedule.soak.checkNotices(upstream, began, time.Now())
		upstream.expireRow()
		upstream.restart()
		schedule.release(upstream)
	})
}

func (upstream *upstream) clearNotices() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.notices, upstream.arrivals = nil, nil
}

// checkNotices checks that the upstream got no request from a router later than
// maxLeaveTime after that had passed on its notice that it leaves. Only faults of the
// router itself are an excuse.
func (soak *Soak) checkNotices(upstream *upstream, began, until time.Time) {
	upstream.mu.Lock()
	notices, arrivals := upstream.notices, upstream.arrivals
	upstream.mu.Unlock()
	for _, notice := range notices {
		if notice.at.Before(began) || !soak.undisturbed(notice.at.Add(-standin.ContactTime), until) {
			continue
		}
		for _, arrival := range arrivals {
			sender, known := soak.senderOf(arrival.attempt)
			late := arrival.at.After(notice.at.Add(maxLeaveTime)) && arrival.at.Before(until) && sender.sentAt.After(notice.at.Add(maxLeaveTime))
			if known && late && sender.router == notice.sender.router && sender.run == notice.sender.run {
				soak.violate("work for a leaving upstream", "%s got %s from %s %v after that had passed on its notice that it leaves", upstream.runner.ID, arrival.attempt, sender.router.name, arrival.at.Sub(notice.at))
				return
			}
		}
	}
}
