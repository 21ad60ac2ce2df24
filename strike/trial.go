package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// trialTime is how long a run of a request that runs alone keeps others of its key from
// running, unless it ends sooner: the row of an upstream that has crashed expires by then.
const trialTime = 4500 * time.Millisecond

// BeginTrial records that a request that runs alone begins to run at an upstream. Other
// routers are notified, so that no second one runs meanwhile. A request that runs alone for
// a part of its prompt keeps no other from running: they may be many, and sound.
func (guard *Guard) BeginTrial(now time.Time, request Request, upstream ident.UpstreamID, incarnation registry.Incarnation) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	worst := guard.judge(now, request.keys()).worst
	if worst.key == 0 || worst.part() {
		return
	}
	trial := Strike{Fingerprint: worst.key, Upstream: upstream, Incarnation: incarnation, SentAt: now, At: now}
	guard.recordTrial(trial)
	guard.unsentTrials = append(guard.unsentTrials, unsent[Strike]{item: trial, sends: sendsPerStrike})
}

// EndTrial records that the run of a request that runs alone ended without having begun at
// the upstream, which says nothing about the request.
func (guard *Guard) EndTrial(now time.Time, request Request) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	for _, key := range request.keys() {
		if _, found := guard.trials[key]; found {
			ended := Strike{Fingerprint: key, SentAt: now, At: now}
			guard.recordTrial(ended)
			guard.unsentTrials = append(guard.unsentTrials, unsent[Strike]{item: ended, sends: sendsPerStrike})
		}
	}
}

// recordTrial records the latest trial of a key, or its end if no upstream is named. The
// caller holds mu.
func (guard *Guard) recordTrial(trial Strike) {
	if trial.Upstream == "" {
		delete(guard.trials, trial.Fingerprint)
		return
	}
	if guard.trials == nil {
		guard.trials = make(map[ident.Fingerprint]time.Time)
	}
	if trial.At.After(guard.trials[trial.Fingerprint]) {
		guard.trials[trial.Fingerprint] = trial.At
	}
}

// trialUntil returns when the last trial of a key keeps others from running no longer. The
// caller holds mu.
func (guard *Guard) trialUntil(evidence *evidence) time.Time {
	began, found := guard.trials[evidence.key]
	if !found || !evidence.lastAt().Before(began) {
		return time.Time{}
	}
	return began.Add(trialTime)
}

// pruneTrials forgets the trials that keep nothing from running. The caller holds mu.
func (guard *Guard) pruneTrials(now time.Time) {
	for key, began := range guard.trials {
		if now.Sub(began) > trialTime {
			delete(guard.trials, key)
		}
	}
}
