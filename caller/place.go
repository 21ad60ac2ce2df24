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
		try, found := relay.choose()
		if !found {
			return last
		}
		err := relay.offer(ctx, try)
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

// choose returns the next upstream to try. The plan is made from the pool as it
// is then: once for a request, and anew when an upstream that ran it was lost.
func (relay *relay) choose() (affinity.Try, bool) {
	if relay.pool == nil {
		relay.pool = relay.server.Directory.Pool(directory.ServesOf(relay.incoming.route))
		if relay.pool == nil {
			return affinity.Try{}, false
		}
		relay.plan = relay.pool.Ranking.Plan(relay.chatKey(), relay.incoming.hint)
	}
	if try, found := relay.directed(); found {
		return try, true
	}
	for {
		try, found := relay.plan.Next(relay.server.now(), relay.server.Loads)
		if !found || !slices.Contains(relay.lost, relay.pool.Entries[try.Index].Upstream) {
			return try, found
		}
	}
}

// replan lets the request start over at the upstreams on which it was not lost.
func (relay *relay) replan() {
	relay.lost = append(relay.lost, relay.entry.Upstream)
	relay.pool = nil
	relay.tried = 0
	relay.overBound = false
}

// directed returns the upstream that a sidecar named as the only one that may
// run the request.
func (relay *relay) directed() (affinity.Try, bool) {
	named := relay.designated
	relay.designated = ""
	if named == "" {
		return affinity.Try{}, false
	}
	index, found := relay.pool.Ranking.Index(named)
	return affinity.Try{Index: index, Last: true}, found
}

// chatKey returns what the request is ranked by: its chat, or the request
// itself where it belongs to none.
func (relay *relay) chatKey() ident.ChatID {
	if relay.incoming.chat == "" {
		return ident.ChatID(relay.incoming.id)
	}
	return ident.ChatID(string(relay.incoming.workspace) + ":" + string(relay.incoming.chat))
}

// offer sends the request to one upstream.
func (relay *relay) offer(ctx context.Context, try affinity.Try) error {
	relay.entry = relay.pool.Entries[try.Index]
	relay.attempt = ident.NewAttemptID()
	relay.tried++
	relay.sentTo = relay.server.Directory.Incarnation(relay.entry.Upstream)
	relay.remember()
	call := relay.call()
	call.Wait = try.Last
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
	case code == result.OverBound && state.Upstream != "":
		relay.overBound = true
	case code == result.UpstreamUnreachable && relay.server.Loads != nil:
		relay.server.Loads.Add(affinity.Report{Upstream: relay.entry.Upstream, Leaving: true, SeenAt: relay.server.now()})
	}
}

// loadsSeen returns, for a request that was refused for the load, what the router
// was told lately of the loads in the pool.
func (relay *relay) loadsSeen() []sidecar.LoadSeen {
	if !relay.overBound || relay.server.Loads == nil {
		return nil
	}
	now := relay.server.now()
	var seen []sidecar.LoadSeen
	for _, report := range relay.server.Loads.Recent(now, admission.EvidenceLifetime, nil) {
		if _, found := relay.pool.Ranking.Index(report.Upstream); !found {
			continue
		}
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
