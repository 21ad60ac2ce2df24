package peer

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
)

const (
	// handleTimeout bounds the work of one announcement at its receiver.
	handleTimeout = 3 * time.Second
	// pullTimeout bounds one pull, after which another source is tried.
	pullTimeout = time.Second
	// pullSettings is the number of settings after which a reply is cut.
	pullSettings = 5000
)

// errNothingPulled means that a source did not send what it had announced.
var errNothingPulled = errors.New("the source sent nothing newer")

// Receiver serves the methods of a Replicator to peers: register it as
// "Settings".
type Receiver struct {
	replicator *Replicator
}

// Receiver returns the net/rpc receiver of the replicator.
func (replicator *Replicator) Receiver() *Receiver {
	return &Receiver{replicator: replicator}
}

// Push takes an announcement and pulls what is newer from its sender before it
// returns.
func (receiver *Receiver) Push(args PushArgs, _ *Nothing) error {
	replicator := receiver.replicator
	if from := replicator.neighbourAt(args.From); from != nil {
		from.learn(args.Revisions)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
	defer cancel()
	return replicator.fetch(ctx, args.From, args.Revisions)
}

// Pull returns what is newer than the caller's revisions of the named teams.
func (receiver *Receiver) Pull(args PullArgs, reply *PullReply) error {
	view := receiver.replicator.View()
	size := 0
	for team, revision := range args.Revisions {
		present := view.Team(team)
		if present == nil || present.Revision <= revision {
			continue
		}
		if size > pullSettings {
			return nil
		}
		size += receiver.answer(reply, present, revision)
	}
	return nil
}

// answer adds the step from revision to present, or the whole of present, and
// returns the number of settings that it added.
func (receiver *Receiver) answer(reply *PullReply, present *settings.Subtree, revision ident.Revision) int {
	former := receiver.replicator.formerAt(present.Team, revision)
	if former != nil {
		delta := settings.NewDelta(former, present)
		if len(delta.Values) <= present.Count() {
			reply.Deltas = append(reply.Deltas, delta)
			return len(delta.Values)
		}
	}
	reply.Subtrees = append(reply.Subtrees, *present)
	return present.Count()
}

// Compare answers whether both views are the same.
func (receiver *Receiver) Compare(args CompareArgs, reply *CompareReply) error {
	view := receiver.replicator.View()
	reply.Ready = receiver.replicator.Ready()
	reply.Same = view.Digest() == args.Digest
	if !reply.Same {
		reply.Revisions = view.Revisions()
	}
	return nil
}

// fetch pulls announced revisions from their sender until they are in force.
// Each team is pulled from one source at a time.
func (replicator *Replicator) fetch(ctx context.Context, from string, announced map[ident.TeamID]ident.Revision) error {
	for {
		wanted := newer(announced, replicator.View().Revisions())
		if len(wanted) == 0 {
			return nil
		}
		claimed, busy := replicator.claimFetch(wanted)
		if len(claimed) == 0 {
			if !await(ctx, busy) {
				return ctx.Err()
			}
			continue
		}
		err := replicator.pull(ctx, from, claimed)
		replicator.releaseFetch(claimed)
		if err != nil {
			replicator.Metrics.CountEvent(eventPullFailed)
			return err
		}
	}
}

// claimFetch claims the wanted teams that nobody pulls. If there are none, busy
// is closed when one of them is released.
func (replicator *Replicator) claimFetch(wanted map[ident.TeamID]ident.Revision) (claimed []ident.TeamID, busy chan struct{}) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	if replicator.fetching == nil {
		replicator.fetching = make(map[ident.TeamID]chan struct{})
	}
	for team := range wanted {
		if pulled := replicator.fetching[team]; pulled != nil {
			busy = pulled
			continue
		}
		replicator.fetching[team] = make(chan struct{})
		claimed = append(claimed, team)
	}
	return claimed, busy
}

func (replicator *Replicator) releaseFetch(teams []ident.TeamID) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	for _, team := range teams {
		close(replicator.fetching[team])
		delete(replicator.fetching, team)
	}
}

// pull asks once for teams and adopts the reply.
func (replicator *Replicator) pull(ctx context.Context, from string, teams []ident.TeamID) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	view := replicator.View()
	args := PullArgs{Revisions: make(map[ident.TeamID]ident.Revision, len(teams))}
	for _, team := range teams {
		args.Revisions[team] = view.Revision(team)
	}
	var reply PullReply
	if err := replicator.Call(ctx, from, MethodPull, args, &reply); err != nil {
		return err
	}
	adopted, failed := replicator.take(reply, teams)
	if len(failed) > 0 {
		return replicator.pullWhole(ctx, from, failed)
	}
	if !adopted {
		return errNothingPulled
	}
	return nil
}

// pullWhole asks for whole subtrees where a step did not apply.
func (replicator *Replicator) pullWhole(ctx context.Context, from string, teams []ident.TeamID) error {
	args := PullArgs{Revisions: make(map[ident.TeamID]ident.Revision, len(teams))}
	for _, team := range teams {
		args.Revisions[team] = 0
	}
	var reply PullReply
	if err := replicator.Call(ctx, from, MethodPull, args, &reply); err != nil {
		return err
	}
	if adopted, _ := replicator.take(reply, teams); !adopted {
		return errNothingPulled
	}
	return nil
}

// take adopts a reply about teams. It reports whether anything came of it, and
// the teams whose step did not apply.
func (replicator *Replicator) take(reply PullReply, teams []ident.TeamID) (adopted bool, failed []ident.TeamID) {
	for i := range reply.Subtrees {
		subtree := &reply.Subtrees[i]
		if slices.Contains(teams, subtree.Team) {
			adopted = replicator.adopt(subtree) || adopted
		}
	}
	for _, delta := range reply.Deltas {
		if !slices.Contains(teams, delta.Team) {
			continue
		}
		subtree, applied := delta.Apply(replicator.View().Team(delta.Team))
		if !applied {
			failed = append(failed, delta.Team)
			continue
		}
		adopted = replicator.adopt(subtree) || adopted
	}
	return adopted, failed
}

// await returns false if ctx ended before signal was closed.
func await(ctx context.Context, signal chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}
