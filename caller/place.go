package caller

import (
	"context"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const (
	// maxOffers is the maximum number of times that one request is offered to
	// sidecars.
	maxOffers = 12
	// The router keeps part of the time until a request's deadline for itself:
	// the remaining time divided by budgetMarginDivisor, but at most
	// maxBudgetMargin.
	maxBudgetMargin     = 200 * time.Millisecond
	budgetMarginDivisor = 10
)

// open offers the request to one upstream after the other until one accepts it.
// Its error is a *result.Error, after which the request is not offered again.
func (relay *relay) open(ctx context.Context) error {
	last := &result.Error{Code: result.NoUpstream, RetryAt: relay.server.now().Add(defaultRetryAfter)}
	for {
		target, found := relay.chooseTarget()
		if !found {
			return last
		}
		err := relay.offer(ctx, target)
		if err == nil {
			return nil
		}
		refusal := result.From(err, result.OutcomeUnknown)
		if err := relay.handleFailure(refusal); err != nil {
			return err
		}
		last = refusal
	}
}

// chooseTarget returns the next upstream to try: the designated one if there is
// one, else the next one of the plan, and finally the first that refused the
// request as over its bound, to wait in its queue.
func (relay *relay) chooseTarget() (affinity.Target, bool) {
	if relay.pool == nil && !relay.makePlan() {
		return affinity.Target{}, false
	}
	if relay.offers == maxOffers {
		return affinity.Target{}, false
	}
	if target, found := relay.designatedTarget(); found {
		return target, true
	}
	if target, found := relay.plannedTarget(relay.pool.Loads); found {
		return target, true
	}
	if relay.planOffers == 0 {
		// The known loads ruled out every upstream. They are only hints, so
		// plan again without them.
		relay.makePlan()
		return relay.plannedTarget(nil)
	}
	return relay.queueTarget()
}

// makePlan ranks the upstreams that are currently in the route's pool. It reports
// false if there is no pool.
func (relay *relay) makePlan() bool {
	relay.pool = relay.server.Directory.Pool(directory.PoolKeyOf(relay.incoming.route))
	if relay.pool == nil {
		return false
	}
	relay.plan = relay.pool.Ranking.Plan(relay.rankingKey(), relay.incoming.hint)
	return true
}

// plannedTarget returns the next upstream of the plan, skipping those on which a
// run of the request failed.
func (relay *relay) plannedTarget(loads *affinity.Loads) (affinity.Target, bool) {
	for {
		target, found := relay.plan.Next(relay.server.now(), loads)
		if !found || !slices.Contains(relay.lostOn, relay.pool.Entries[target.Index].Upstream) {
			return target, found
		}
	}
}

// queueTarget returns the first upstream that refused the request as over its
// bound, to wait in its queue, and clears it.
func (relay *relay) queueTarget() (affinity.Target, bool) {
	if relay.overBound == "" {
		return affinity.Target{}, false
	}
	index, found := relay.pool.Ranking.Index(relay.overBound)
	relay.overBound = ""
	return affinity.Target{Index: index, Last: true}, found
}

// replan starts a new plan, which leaves out the current upstream and those on
// which a run of the request failed earlier.
func (relay *relay) replan() {
	relay.lostOn = append(relay.lostOn, relay.entry.Upstream)
	relay.pool = nil
	relay.planOffers = 0
	relay.overBound = ""
}

// designatedTarget returns the designated upstream, if there is one in the pool,
// and clears the designation.
func (relay *relay) designatedTarget() (affinity.Target, bool) {
	designated := relay.designated
	relay.designated = ""
	if designated == "" {
		return affinity.Target{}, false
	}
	index, found := relay.pool.Ranking.Index(designated)
	return affinity.Target{Index: index, Last: true}, found
}

// rankingKey returns the key by which upstreams are ranked for the request: its
// chat, or its own ID if it belongs to no chat.
func (relay *relay) rankingKey() ident.ChatID {
	if relay.incoming.chat == "" {
		return ident.ChatID(relay.incoming.id)
	}
	return ident.QualifiedChat(relay.incoming.team, relay.incoming.workspace, relay.incoming.chat)
}

// offer sends the request to one upstream.
func (relay *relay) offer(ctx context.Context, target affinity.Target) error {
	relay.entry = relay.pool.Entries[target.Index]
	relay.attempt = ident.NewAttemptID()
	relay.planOffers++
	relay.offers++
	relay.sentIncarnation = relay.server.Directory.Incarnation(relay.entry.Upstream)
	relay.rememberKey()
	call := relay.sidecarCall()
	call.Wait = target.Last
	relay.offeredToWait = relay.offeredToWait || target.Last
	frames, state, err := relay.server.Sidecars.Run(ctx, relay.entry.Address, call, relay.incoming.body, relay.text.String())
	if err == nil {
		relay.frames = frames
		return nil
	}
	relay.recordRefusal(result.CodeOf(err), state)
	relay.designated = state.Designated
	relay.plan.RecordRefusal(result.CodeOf(err), state.Lighter)
	if result.CodeOf(err) == result.OutcomeUnknown {
		return relay.resolveUnknown(ctx, err)
	}
	return err
}

// recordRefusal records the first upstream that refused the request as over its
// bound. An upstream that could not be reached is reported to the directory as
// leaving, so that other requests avoid it.
func (relay *relay) recordRefusal(code result.Code, state sidecar.State) {
	switch {
	case code == result.OverBound && relay.overBound == "" && !relay.offeredToWait:
		relay.overBound = relay.entry.Upstream
	case code == result.UpstreamUnreachable:
		relay.server.Directory.Report(affinity.Report{Upstream: relay.entry.Upstream, Leaving: true, SeenAt: relay.server.now()})
	}
}

// recentLoads returns the loads in the pool that were reported recently, as
// evidence for the sidecar. It returns none for the first offer of a plan.
func (relay *relay) recentLoads() []sidecar.LoadSeen {
	if relay.planOffers < 2 || relay.pool.Loads == nil {
		return nil
	}
	now := relay.server.now()
	var loads []sidecar.LoadSeen
	for _, report := range relay.pool.Loads.Recent(now, admission.EvidenceLifetime, nil) {
		loads = append(loads, sidecar.LoadSeen{Upstream: report.Upstream, Load: report.Load, AgeMs: now.Sub(report.SeenAt).Milliseconds()})
	}
	return loads
}

// sidecarBudget returns the part of the remaining time that the sidecar may use.
// The rest leaves time for the sidecar's result, such as "not run", to reach the
// caller before the deadline.
func sidecarBudget(remaining time.Duration) time.Duration {
	margin := min(maxBudgetMargin, remaining/budgetMarginDivisor)
	return max(time.Millisecond, remaining-margin)
}

func (relay *relay) sidecarCall() sidecar.Call {
	incoming := relay.incoming
	return sidecar.Call{
		Request:      incoming.id,
		Attempt:      relay.attempt,
		Team:         incoming.team,
		Route:        incoming.routeName,
		Workspace:    incoming.workspace,
		Chat:         incoming.chat,
		Priority:     incoming.priority,
		Key:          incoming.key,
		Prior:        incoming.hint,
		BudgetMs:     sidecarBudget(incoming.deadline.Sub(relay.server.now())).Milliseconds(),
		ResumeFrames: relay.assembler.Next() - 1,
		Evidence:     relay.recentLoads(),
		CrashedOn:    relay.crashedOn,
	}
}
