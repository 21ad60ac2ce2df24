package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// trialTime is how long a run of a request that runs alone keeps others of its key from
	// running, unless it ends sooner: the row of an upstream that has crashed expires by then.
	trialTime = 4500 * time.Millisecond
	// ProposalTime is how long a router waits between the proposal of a trial and the run:
	// the proposals of other routers arrive within it. Of those the same one wins everywhere.
	ProposalTime = 100 * time.Millisecond
)

// Trial is a run of a request that runs alone, or the end of one if it names no upstream.
type Trial struct {
	Fingerprint ident.Fingerprint
	// Router identifies the router that proposes the trial.
	Router      string
	Upstream    ident.UpstreamID
	Incarnation registry.Incarnation
	At          time.Time
}

// beats reports whether the trial is the one that takes place if both are proposed: the
// earlier one, or of those proposed at the same time the first in rendezvous order.
func (trial Trial) beats(other Trial) bool {
	if difference := trial.At.Sub(other.At); difference.Abs() > ProposalTime {
		return difference < 0
	}
	return rendezvousScore(trial.Fingerprint, trial.Router) > rendezvousScore(other.Fingerprint, other.Router)
}

// ProposeTrial proposes to run a request, which may run alone only, at an upstream. Other
// routers are notified. It returns the proposal, and false if another trial of the request is
// open. The request may run ProposalTime later if MayBegin says so. A request that runs alone
// for a part of its prompt keeps no other from running, as those may be many and sound.
func (guard *Guard) ProposeTrial(now time.Time, request Request, upstream ident.UpstreamID, incarnation registry.Incarnation) (Trial, bool) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	worst := guard.judge(now, request.keys()).worst
	if worst.key == 0 || worst.part() {
		return Trial{}, true
	}
	if _, open := guard.openTrial(now, worst.key); open || guard.onTrial(now, upstream) {
		return Trial{}, false
	}
	trial := Trial{Fingerprint: worst.key, Router: guard.Router, Upstream: upstream, Incarnation: incarnation, At: now}
	guard.announceTrial(trial)
	return trial, true
}

// MayBegin reports whether a proposed trial takes place: neither another one of its key, nor
// one of another key at the same upstream, whose crash would count against both.
func (guard *Guard) MayBegin(now time.Time, proposed Trial) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if proposed.Fingerprint == 0 {
		return true
	}
	for key := range guard.trials {
		other, open := guard.openTrial(now, key)
		if open && other.Upstream == proposed.Upstream && other != proposed && other.beats(proposed) {
			return false
		}
	}
	return guard.trials[proposed.Fingerprint] == proposed
}

// EndTrial records that a trial ended without a crash of its upstream, so that the next one may
// begin.
func (guard *Guard) EndTrial(now time.Time, trial Trial) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if trial.Fingerprint == 0 || guard.trials[trial.Fingerprint] != trial {
		return
	}
	trial.Upstream, trial.At = "", now
	guard.announceTrial(trial)
}

// announceTrial records a trial of this router, or its end, and has other routers notified.
// The caller holds mu.
func (guard *Guard) announceTrial(trial Trial) {
	guard.setTrial(trial)
	guard.unsentTrials = append(guard.unsentTrials, unsent[Trial]{item: trial, sends: sendsPerStrike})
}

// applyTrial records what another router says of a trial, and reports whether that was
// new. The caller holds mu.
func (guard *Guard) applyTrial(now time.Time, trial Trial) bool {
	known, open := guard.openTrial(now, trial.Fingerprint)
	ends := trial.Upstream == ""
	if ends && known.Router != trial.Router || !ends && open && !trial.beats(known) {
		return false
	}
	same := open && known.Router == trial.Router && known.Upstream == trial.Upstream
	guard.setTrial(trial)
	return !same
}

func (guard *Guard) setTrial(trial Trial) {
	if guard.trials == nil {
		guard.trials = make(map[ident.Fingerprint]Trial)
	}
	guard.trials[trial.Fingerprint] = trial
}

// openTrial returns the trial that keeps others of its key from running, and whether there is
// one: none does once the key has crashed an upstream since, or its strikes are cleared. The
// caller holds mu.
func (guard *Guard) openTrial(now time.Time, key ident.Fingerprint) (Trial, bool) {
	trial := guard.trials[key]
	underway := trial.Upstream != "" && now.Before(trial.At.Add(trialTime))
	if !underway || !guard.tracker.HasStrikes(now, key) || !guard.tracker.requests[key].latest().Before(trial.At) {
		return Trial{}, false
	}
	return trial, true
}

// OnTrial reports whether a request runs alone at an upstream.
func (guard *Guard) OnTrial(now time.Time, upstream ident.UpstreamID) bool {
	if guard == nil {
		return false
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return guard.onTrial(now, upstream)
}

// onTrial does the work of OnTrial. The caller holds mu.
func (guard *Guard) onTrial(now time.Time, upstream ident.UpstreamID) bool {
	for key := range guard.trials {
		if trial, open := guard.openTrial(now, key); open && trial.Upstream == upstream {
			return true
		}
	}
	return false
}

// pruneTrials forgets the trials that keep nothing from running. The caller holds mu.
func (guard *Guard) pruneTrials(now time.Time) {
	for key, trial := range guard.trials {
		if now.Sub(trial.At) > trialTime {
			delete(guard.trials, key)
		}
	}
}
