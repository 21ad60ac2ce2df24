package strike

import (
	"math"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// partAloneStrikes and partNeverStrikes are aloneStrikes and neverStrikes of a part.
	// They are more, since a part is in the prompts of many sound requests.
	partAloneStrikes = 4
	partNeverStrikes = 5
	// SettleTime is how long after a crash each router has received it. A request that
	// runs alone waits as long.
	SettleTime = 250 * time.Millisecond
	// settleMargin allows for the time that reports of two crashes travelled, which moves
	// the crashes against each other.
	settleMargin = 50 * time.Millisecond
	// firstBackoff is how long after its last crash a refused request may run alone again,
	// which clears it if it is sound, and backoffFactor how many times as long for each
	// further strike, up to maxBackoff.
	firstBackoff  = time.Second
	backoffFactor = 30
	maxBackoff    = defaultLifetime
	// minSingleCrashes is at how many of its crashes a request has to have been the only
	// one for its refusal to be beyond doubt, which skips the first backoff.
	minSingleCrashes = 2
)

// evidence is the crashes that one key of a request is blamed for.
type evidence struct {
	key ident.Fingerprint
	// crashes are those that count, the earliest first.
	crashes []crashAt
	// single counts those of a request at which no other request was running that has
	// not succeeded since.
	single int
}

// part reports whether the key is that of a part.
func (evidence *evidence) part() bool { return len(evidence.crashes) > 0 && evidence.crashes[0].part }

// thresholds returns the strikes from which a request with the key runs alone, and from
// which it is refused.
func (evidence *evidence) thresholds() (alone, never int) {
	if evidence.part() {
		return partAloneStrikes, partNeverStrikes
	}
	return aloneStrikes, neverStrikes
}

// allowance returns how a request with the key may run at the time now.
func (evidence *evidence) allowance(now time.Time) Allowance {
	alone, never := evidence.thresholds()
	strikes := len(evidence.crashes)
	switch {
	case strikes < alone:
		return Free
	case strikes < never, !evidence.crashedAlone(alone), !now.Before(evidence.refusedUntil()):
		return Alone
	}
	return Refused
}

// refusedUntil returns when a refused key may run alone again.
func (evidence *evidence) refusedUntil() time.Time {
	backoff := float64(firstBackoff) * math.Pow(backoffFactor, float64(evidence.skipped()))
	return evidence.lastAt().Add(time.Duration(min(backoff, float64(maxBackoff))))
}

// skipped returns how many backoffs a refused key skips: one for each strike more than
// refuse it, and one if there is no doubt.
func (evidence *evidence) skipped() int {
	_, never := evidence.thresholds()
	skipped := max(len(evidence.crashes)-never, 0)
	if evidence.single >= minSingleCrashes {
		skipped++
	}
	return skipped
}

// crashedAlone reports whether an upstream crashed while it ran the key alone: in a run that
// was sent once all routers knew of the strikes, from how many on it runs alone only. Upstreams
// that go down one after the other may all run a sound request that is sent often.
func (evidence *evidence) crashedAlone(strikes int) bool {
	suspectedAt := evidence.crashes[strikes-1].at
	return slices.ContainsFunc(evidence.crashes[strikes:], func(crash crashAt) bool {
		return crash.sentAt.IsZero() || !crash.sentAt.Before(suspectedAt.Add(SettleTime-settleMargin))
	})
}

// lastAt returns when the last crash happened, and the zero time without any.
func (evidence *evidence) lastAt() time.Time {
	if len(evidence.crashes) == 0 {
		return time.Time{}
	}
	return evidence.crashes[len(evidence.crashes)-1].at
}

// worseThan reports whether the key is refused for longer than another one, or blamed for
// more crashes as long as neither is refused.
func (evidence *evidence) worseThan(other *evidence) bool {
	if until, otherUntil := evidence.refusedUntil(), other.refusedUntil(); !until.Equal(otherUntil) {
		return until.After(otherUntil)
	}
	return len(evidence.crashes) > len(other.crashes)
}

// evidenceAgainst returns the evidence for one key of a request, whose keys are given. A
// crash is blamed on the key with the most strikes that was running there. The caller
// holds mu.
func (guard *Guard) evidenceAgainst(now time.Time, key ident.Fingerprint, keys []ident.Fingerprint) evidence {
	strikes := guard.tracker.Count(now, key)
	if strikes < aloneStrikes {
		return evidence{key: key}
	}
	blamed := slices.DeleteFunc(guard.tracker.requests[key].sorted(), func(crash crashAt) bool {
		return guard.blamedOnOther(now, crash, strikes, keys)
	})
	found := evidence{key: key, crashes: withoutSimultaneous(blamed)}
	for _, crash := range found.crashes {
		if !crash.part && !guard.othersRunning(crash, keys) {
			found.single++
		}
	}
	return found
}

// othersRunning reports whether a request that has none of the keys was running at the
// crash and has not succeeded since. The caller holds mu.
func (guard *Guard) othersRunning(crash crashAt, keys []ident.Fingerprint) bool {
	return slices.ContainsFunc(guard.running[crash.run()], func(other ident.Fingerprint) bool {
		run, found := guard.tracker.crash(rowKeyOf(other, crash))
		return found && !run.part && !slices.Contains(keys, other)
	})
}

// blamedOnOther reports whether a key that is not among keys, and has more strikes than
// given, was running at the crash. The caller holds mu.
func (guard *Guard) blamedOnOther(now time.Time, crash crashAt, strikes int, keys []ident.Fingerprint) bool {
	least := strikes + 1
	if crash.part {
		least = max((strikes+1)/2, aloneStrikes)
	}
	return slices.ContainsFunc(guard.running[crash.run()], func(other ident.Fingerprint) bool {
		return !slices.Contains(keys, other) && guard.tracker.has(rowKeyOf(other, crash)) && guard.tracker.Count(now, other) >= least
	})
}

func rowKeyOf(key ident.Fingerprint, crash crashAt) rowKey {
	return rowKey{fingerprint: key, upstream: crash.upstream, incarnation: crash.incarnation}
}

// verdict is how a request may run, and why.
type verdict struct {
	allowance Allowance
	// worst is the evidence that allows the least, and of that the worst.
	worst evidence
}

// judge returns how the request with the given keys may run. The caller holds mu.
func (guard *Guard) judge(now time.Time, keys []ident.Fingerprint) verdict {
	var result verdict
	for _, key := range keys {
		if !guard.tracker.HasStrikes(now, key) {
			continue
		}
		found := guard.evidenceAgainst(now, key, keys)
		allowance := found.allowance(now)
		if allowance > result.allowance || allowance == result.allowance && found.worseThan(&result.worst) {
			result = verdict{allowance: allowance, worst: found}
		}
	}
	return result
}

// recordRunning records that a key was running at a crash. The caller holds mu.
func (guard *Guard) recordRunning(strike Strike) {
	if guard.running == nil {
		guard.running = make(map[incarnationKey][]ident.Fingerprint)
	}
	key := incarnationKey{upstream: strike.Upstream, incarnation: strike.Incarnation}
	guard.running[key] = append(guard.running[key], strike.Fingerprint)
}

// pruneRunning forgets the keys whose strikes no longer count. The caller holds mu.
func (guard *Guard) pruneRunning() {
	for run, keys := range guard.running {
		remaining := slices.DeleteFunc(keys, func(key ident.Fingerprint) bool {
			return !guard.tracker.has(rowKey{fingerprint: key, upstream: run.upstream, incarnation: run.incarnation})
		})
		if len(remaining) == 0 {
			delete(guard.running, run)
			continue
		}
		guard.running[run] = remaining
	}
}
