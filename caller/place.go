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
	// maxOffers is the most offers of one request.
	maxOffers = 12
	// maxBudgetMargin and the budgetMarginPart-th part of what remains bound
	// the time that the router keeps back of a request's deadline.
	maxBudgetMargin  = 200 * time.Millisecond
	budgetMarginPart = 10
)

// open offers the request to upstreams in their order until one takes it. Its
// error is a *result.Error and final.
func (relay *relay) open(ctx context.Context) error {
	last := &result.Error{Code: result.NoUpstream, RetryAt: relay.server.now().Add(comeBack)}
	for {
		target, found := relay.choose()
		if !found {
			return last
		}
		err := relay.offer(ctx, target)
		if err == nil {
			return nil
		}
		refusal := result.From(err, result.OutcomeUnknown)
		if err := relay.failed(refusal); err != nil {
			return err
		}
		last = refusal
	}
}

// choose returns the next upstream to try: the one that was named, the next one
// of the plan, and at last one that refused for its load, to wait there.
func (relay *relay) choose() (affinity.Target, bool) {
	if relay.pool == nil && !relay.makePlan() {
		return affinity.Target{}, false
	}
	if relay.offers == maxOffers {
		return affinity.Target{}, false
	}
	if target, found := relay.directed(); found {
		return target, true
	}
	if target, found := relay.planned(relay.pool.Loads); found {
		return target, true
	}
	if relay.tried == 0 {
		// What is remembered of the upstreams left none; it is only a hint.
		relay.makePlan()
		return relay.planned(nil)
	}
	return relay.waiting()
}

// makePlan ranks the upstreams of the pool as it is now.
func (relay *relay) makePlan() bool {
	relay.pool = relay.server.Directory.Pool(directory.PoolKeyOf(relay.incoming.route))
	if relay.pool == nil {
		return false
	}
	relay.plan = relay.pool.Ranking.Plan(relay.chatKey(), relay.incoming.hint)
	return true
}

// planned returns the next upstream of the plan on which the request was not
// lost.
func (relay *relay) planned(loads *affinity.Loads) (affinity.Target, bool) {
	for {
		target, found := relay.plan.Next(relay.server.now(), loads)
		if !found || !slices.Contains(relay.lost, relay.pool.Entries[target.Index].Upstream) {
			return target, found
		}
	}
}

// waiting returns the first upstream that refused the request for its load,
// where it may wait in the queue.
func (relay *relay) waiting() (affinity.Target, bool) {
	if relay.full == "" {
		return affinity.Target{}, false
	}
	index, found := relay.pool.Ranking.Index(relay.full)
	relay.full = ""
	return affinity.Target{Index: index, Last: true}, found
}

// replan lets the request start over at the upstreams on which it was not lost.
func (relay *relay) replan() {
	relay.lost = append(relay.lost, relay.entry.Upstream)
	relay.pool = nil
	relay.tried = 0
	relay.full = ""
}

// directed returns the upstream that a sidecar named as the only one that may
// run the request.
func (relay *relay) directed() (affinity.Target, bool) {
	named := relay.designated
	relay.designated = ""
	if named == "" {
		return affinity.Target{}, false
	}
	index, found := relay.pool.Ranking.Index(named)
	return affinity.Target{Index: index, Last: true}, found
}

// chatKey returns what the request is ranked by: its chat, or the request
// itself where it belongs to none.
func (relay *relay) chatKey() ident.ChatID {
	if relay.incoming.chat == "" {
		return ident.ChatID(relay.incoming.id)
	}
	return ident.QualifiedChat(relay.incoming.team, relay.incoming.workspace, relay.incoming.chat)
}

// offer sends the request to one upstream.
func (relay *relay) offer(ctx context.Context, target affinity.Target) error {
	relay.entry = relay.pool.Entries[target.Index]
	relay.attempt = ident.NewAttemptID()
	relay.tried++
	relay.offers++
	relay.sentTo = relay.server.Directory.Incarnation(relay.entry.Upstream)
	relay.remember()
	call := relay.call()
	call.Wait = target.Last
	relay.waited = relay.waited || target.Last
	frames, state, err := relay.server.Sidecars.Run(ctx, relay.entry.Address, call, relay.incoming.body, relay.text.String())
	if err == nil {
		relay.frames = frames
		return nil
	}
	relay.refused(result.CodeOf(err), state)
	relay.designated = state.Designated
	relay.plan.Refused(result.CodeOf(err), state.Lighter)
	if result.CodeOf(err) == result.OutcomeUnknown {
		return relay.resolveUnknown(ctx, err)
	}
	return err
}

// refused remembers that a request was refused for its upstream's load, and that
// an upstream could not be reached.
func (relay *relay) refused(code result.Code, state sidecar.State) {
	switch {
	case code == result.OverBound && relay.full == "" && !relay.waited:
		relay.full = relay.entry.Upstream
	case code == result.UpstreamUnreachable:
		relay.server.Directory.Report(affinity.Report{Upstream: relay.entry.Upstream, Leaving: true, SeenAt: relay.server.now()})
	}
}

// loadsSeen returns, for a request that was refused before, what the router was
// told lately of the loads in the pool.
func (relay *relay) loadsSeen() []sidecar.LoadSeen {
	if relay.tried < 2 || relay.pool.Loads == nil {
		return nil
	}
	now := relay.server.now()
	var seen []sidecar.LoadSeen
	for _, report := range relay.pool.Loads.Recent(now, admission.EvidenceLifetime, nil) {
		seen = append(seen, sidecar.LoadSeen{Upstream: report.Upstream, Load: report.Load, AgeMs: now.Sub(report.SeenAt).Milliseconds()})
	}
	return seen
}

// budget returns the time that a sidecar gets of what remains, so that its last
// word, such as "not run", still reaches the caller before the deadline.
func budget(remains time.Duration) time.Duration {
	margin := min(maxBudgetMargin, remains/budgetMarginPart)
	return max(time.Millisecond, remains-margin)
}

func (relay *relay) call() sidecar.Call {
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
		BudgetMs:     budget(incoming.deadline.Sub(relay.server.now())).Milliseconds(),
		ResumeFrames: relay.assembler.Next() - 1,
		Evidence:     relay.loadsSeen(),
		CrashedOn:    relay.crashedOn,
	}
}
