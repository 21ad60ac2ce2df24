package strike

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// policy says how the crashes of one kind of key are weighed. A key is what may be
// the cause of a crash: a request as a whole, or a part of a prompt.
type policy struct {
	// besideWeight is the weight of a crash at which a request was running that
	// was sent later, and that is more likely the cause.
	besideWeight float64
	// successWeight is how much more weight is needed against a key that
	// succeeded within successWindow before its first crash.
	successWeight float64
	// maxUnexplained is how much more weight crashes that nothing accounts for may
	// take at most. Among many of them a request may still crash only few upstreams.
	maxUnexplained float64
	// alternativesWeight is how much more weight is needed against a key if others
	// could be refused for each of its crashes.
	alternativesWeight float64
}

var (
	requestPolicy = policy{besideWeight: 0.5, successWeight: 2}
	// A prompt is prefilled before a part of it does harm, so that a younger
	// request says less against a part.
	partPolicy = policy{besideWeight: 0.75, successWeight: 1, maxUnexplained: 2, alternativesWeight: 2}
)

// unexplainedWeight is how much more weight is needed for each crash that nothing
// accounts for.
const unexplainedWeight = 0.5

// minWeight is the least weight of a crash that counts at all, so that the cause of many
// crashes among others is found.
const minWeight = 0.5

// sentMargin is by how much the times of sending of one run may differ that two
// routers report.
const sentMargin = 5 * time.Millisecond

// evidence is the weight of the crashes for which one key of a request is to blame.
type evidence struct {
	key ident.Fingerprint
	// crashes are those that count, the earliest first.
	crashes []crashAt
	// weight is the sum of their weights, and needed how much more of it than
	// usual takes effect.
	weight float64
	needed float64
	// single counts the crashes at which no other request was running, and
	// alternatives those at which a key outside the request was running that has
	// enough strikes to be refused itself.
	single       int
	alternatives int
}

// crashAt is a crash of one upstream.
type crashAt struct {
	crash
	upstream ident.UpstreamID
}

func (crashAt crashAt) run() incarnationKey {
	return incarnationKey{upstream: crashAt.upstream, incarnation: crashAt.incarnation}
}

// allowance returns how a request with the key may run, by the weight alone.
func (evidence *evidence) allowance() Allowance {
	switch weight := evidence.weight - evidence.needed; {
	case weight >= neverStrikes:
		return Refused
	case weight >= aloneStrikes:
		return Alone
	}
	return Free
}

// decidedAt returns when the first of the last three crashes happened, or the first
// of fewer.
func (evidence *evidence) decidedAt() time.Time {
	return evidence.crashes[max(len(evidence.crashes)-neverStrikes, 0)].at
}

// sameCrashes reports whether two keys are blamed for the same crashes, so that
// nothing tells them apart.
func (evidence *evidence) sameCrashes(other *evidence) bool {
	return slices.EqualFunc(evidence.crashes, other.crashes, func(a, b crashAt) bool { return a.run() == b.run() })
}

// evidenceAgainst returns the evidence for one key of a request, whose keys are given. A
// crash is blamed on the key that was running at most crashes: if that is one outside the
// request, this key gets none of it, and a part if it comes close. The caller holds mu.
func (guard *Guard) evidenceAgainst(now time.Time, key ident.Fingerprint, keys []ident.Fingerprint) evidence {
	found := evidence{key: key}
	strikes := guard.tracker.Count(now, key)
	if strikes < aloneStrikes {
		return found
	}
	for _, crash := range guard.crashesOf(key) {
		last := len(found.crashes) - 1
		mostStrikes := guard.mostStrikesAt(now, crash, keys)
		if mostStrikes >= strikes || last >= 0 && crash.partOf(found.crashes[last].crash) {
			continue
		}
		found.crashes = append(found.crashes, crash)
		if mostStrikes >= neverStrikes {
			found.alternatives++
		}
		others, younger := guard.runningAt(crash, keys)
		found.weight += max(weightOf(crash.crash, younger)*unsharedShare(strikes, mostStrikes), minWeight)
		if others <= 1 {
			found.single++
		}
	}
	if len(found.crashes) < aloneStrikes {
		return found
	}
	policy := policyOf(found.crashes[0].crash)
	found.needed = min(unexplainedWeight*float64(guard.unexplained(now, &found)), policy.maxUnexplained)
	if guard.succeededBefore(found.crashes[0], key) {
		found.needed += policy.successWeight
	}
	if found.alternatives == len(found.crashes) {
		found.needed += policy.alternativesWeight
	}
	return found
}

// unexplained returns how many other crashes happened between the first and the
// last crash of a key that no key with several strikes accounts for. While upstreams
// crash for other reasons, more of them happen beside a sound request. The caller
// holds mu.
func (guard *Guard) unexplained(now time.Time, evidence *evidence) int {
	first, last := evidence.crashes[0].at, evidence.crashes[len(evidence.crashes)-1].at
	var times []time.Time
	for run, broke := range guard.breaks {
		at := broke.first
		if !at.Before(first) && !at.After(last) && !guard.explained(now, run, evidence.key) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > simultaneousWindow {
			count++
		}
	}
	return count
}

// explained reports whether the key, or one with neverStrikes strikes, was running
// at a crash. The caller holds mu.
func (guard *Guard) explained(now time.Time, crashed incarnationKey, key ident.Fingerprint) bool {
	return slices.ContainsFunc(guard.running[crashed], func(other ident.Fingerprint) bool {
		return other == key || guard.tracker.Count(now, other) >= neverStrikes
	})
}

func policyOf(crash crash) policy {
	if crash.part {
		return partPolicy
	}
	return requestPolicy
}

// weightOf returns the weight of a crash, at which a request that was sent later
// was or was not running.
func weightOf(crash crash, younger bool) float64 {
	if younger {
		return policyOf(crash).besideWeight
	}
	return 1
}

// unsharedShare returns the share of a crash that is blamed on a key with the given
// strikes if another one that was running there has fewer. A single strike, as each
// request has that ran beside the cause, takes nothing away.
func unsharedShare(strikes, others int) float64 {
	if others < aloneStrikes {
		return 1
	}
	return 1 - float64(others)/float64(strikes)
}

// crashesOf returns the crashes of a key, the earliest first. The caller holds mu.
func (guard *Guard) crashesOf(key ident.Fingerprint) []crashAt {
	var sorted []crashAt
	for upstream, crash := range guard.tracker.requests[key].all() {
		sorted = append(sorted, crashAt{crash: crash, upstream: upstream})
	}
	slices.SortFunc(sorted, func(a, b crashAt) int { return a.at.Compare(b.at) })
	return sorted
}

// mostStrikesAt returns the strikes of the key with the most of them that was
// running at the crash and is not among keys. The caller holds mu.
func (guard *Guard) mostStrikesAt(now time.Time, crash crashAt, keys []ident.Fingerprint) int {
	most := 0
	for _, other := range guard.running[crash.run()] {
		if !slices.Contains(keys, other) && guard.tracker.has(rowKeyOf(other, crash)) {
			most = max(most, guard.tracker.Count(now, other))
		}
	}
	return most
}

// runningAt returns how many requests were running at the crash, and whether one of
// them that is not among keys was sent later than the run of the crash. The caller
// holds mu.
func (guard *Guard) runningAt(crash crashAt, keys []ident.Fingerprint) (requests int, younger bool) {
	for _, other := range guard.running[crash.run()] {
		run, found := guard.tracker.crash(rowKeyOf(other, crash))
		if !found || run.part {
			continue
		}
		requests++
		if !crash.sentAt.IsZero() && run.sentAt.After(crash.sentAt.Add(sentMargin)) && !slices.Contains(keys, other) {
			younger = true
		}
	}
	return requests, younger
}

func rowKeyOf(key ident.Fingerprint, crash crashAt) rowKey {
	return rowKey{fingerprint: key, upstream: crash.upstream, incarnation: crash.incarnation}
}

// verdict is how a request may run, and why.
type verdict struct {
	allowance Allowance
	// worst is the evidence that allows the least, and of that the one with the most
	// weight.
	worst evidence
	// others is set for a refused request if another of its keys has strikes of
	// other crashes, so that one more would not tell which of them is to blame.
	others bool
}

// judge returns how the request with the given keys may run. The caller holds mu.
func (guard *Guard) judge(now time.Time, keys []ident.Fingerprint) verdict {
	var result verdict
	for _, key := range keys {
		if !guard.tracker.HasStrikes(now, key) {
			continue
		}
		found := guard.evidenceAgainst(now, key, keys)
		allowance := found.allowance()
		if allowance > result.allowance || allowance == result.allowance && found.weight > result.worst.weight {
			result.worst = found
		}
		result.allowance = max(result.allowance, allowance)
	}
	if result.allowance == Refused {
		result.others = guard.othersStruck(now, keys, &result.worst)
	}
	if result.allowance == Refused && now.Sub(result.worst.decidedAt()) < verdictDelay {
		result.allowance = Alone
	}
	return result
}

// othersStruck reports whether one of the keys has strikes of other crashes than
// worst is accused of. The caller holds mu.
func (guard *Guard) othersStruck(now time.Time, keys []ident.Fingerprint, worst *evidence) bool {
	return slices.ContainsFunc(keys, func(key ident.Fingerprint) bool {
		if key == worst.key || !guard.tracker.HasStrikes(now, key) {
			return false
		}
		other := evidence{crashes: guard.crashesOf(key)}
		return !other.sameCrashes(worst)
	})
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
