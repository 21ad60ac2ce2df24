package caller

import (
	"context"
	"slices"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

// open offers the request to upstreams in their order until one takes it. Its
// error is a *result.Error and final.
func (relay *relay) open(ctx context.Context) error {
	last := &result.Error{Code: result.NoUpstream, RetryAt: relay.server.now().Add(comeBack)}
	for {
		entry, found := relay.choose()
		if !found {
			return last
		}
		err := relay.offer(ctx, entry)
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

// choose returns the best upstream that was not tried yet.
func (relay *relay) choose() (directory.Entry, bool) {
	pool := relay.pool()
	if pool == nil || len(relay.tried) >= retry.MaxTries {
		return directory.Entry{}, false
	}
	var order [2 * retry.MaxTries]int
	for _, i := range pool.Ranking.Rank(relay.chatKey(), relay.incoming.hint, order[:]) {
		entry := pool.Entries[i]
		if !slices.Contains(relay.tried, entry.Upstream) {
			return entry, true
		}
	}
	return directory.Entry{}, false
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
func (relay *relay) offer(ctx context.Context, entry directory.Entry) error {
	relay.entry = entry
	relay.attempt = ident.NewAttemptID()
	relay.tried = append(relay.tried, entry.Upstream)
	relay.sentTo = relay.server.Directory.Incarnation(entry.Upstream)
	frames, err := relay.server.Sidecars.Run(ctx, entry.Address, relay.call(), relay.incoming.body, relay.text.String())
	if err == nil {
		relay.frames = frames
		return nil
	}
	if result.CodeOf(err) == result.OutcomeUnknown {
		return relay.resolveUnknown(ctx, err)
	}
	return err
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
		BudgetMs:     max(1, incoming.deadline.Sub(relay.server.now()).Milliseconds()),
		ResumeFrames: relay.assembler.Next() - 1,
		Evidence:     relay.evidence,
	}
}
