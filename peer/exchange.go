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
	// handleTimeout bounds how long the receiver of an announcement works on it.
	handleTimeout = 3 * time.Second
	// pullTimeout bounds one pull. After it the daemon can pull from another
	// source.
	pullTimeout = time.Second
	// maxPullSettings is the number of settings after which no further team is
	// added to the reply of a pull.
	maxPullSettings = 5000
)

// errNothingPulled means that a peer did not send the revisions that it had
// announced.
var errNothingPulled = errors.New("pull returned no newer settings")

// Receiver serves the net/rpc methods of a Replicator. It must be registered
// under the name "Settings".
type Receiver struct {
	replicator *Replicator
}

// Receiver returns the net/rpc receiver of the replicator.
func (replicator *Replicator) Receiver() *Receiver {
	return &Receiver{replicator: replicator}
}

// Push handles an announcement. It returns after the newer revisions have been
// pulled from the sender.
func (receiver *Receiver) Push(args PushArgs, _ *Nothing) error {
	replicator := receiver.replicator
	if from := replicator.neighbourAt(args.From); from != nil {
		from.addKnown(args.Revisions)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
	defer cancel()
	return replicator.fetch(ctx, args.From, args.Revisions)
}

// Pull returns the settings of the named teams that are newer than the caller's
// revisions.
func (receiver *Receiver) Pull(args PullArgs, reply *PullReply) error {
	view := receiver.replicator.View()
	size := 0
	for team, revision := range args.Revisions {
		present := view.Team(team)
		if present == nil || present.Revision <= revision {
			continue
		}
		if size > maxPullSettings {
			return nil
		}
		size += receiver.appendNewer(reply, present, revision)
	}
	return nil
}

// appendNewer adds present to reply and returns the number of settings added. It
// adds the delta from revision if that revision is still retained and the delta
// is not larger than present, else the complete subtree.
func (receiver *Receiver) appendNewer(reply *PullReply, present *settings.Subtree, revision ident.Revision) int {
	base := receiver.replicator.retainedAt(present.Team, revision)
	if base != nil {
		delta := settings.NewDelta(base, present)
		if len(delta.Values) <= present.Count() {
			reply.Deltas = append(reply.Deltas, delta)
			return len(delta.Values)
		}
	}
	reply.Subtrees = append(reply.Subtrees, *present)
	return present.Count()
}

// Compare reports whether the caller's settings are the same as those of this
// daemon, and returns this daemon's revisions if they are not.
func (receiver *Receiver) Compare(args CompareArgs, reply *CompareReply) error {
	view := receiver.replicator.View()
	reply.Ready = receiver.replicator.Ready()
	reply.Same = view.Digest() == args.Digest
	if !reply.Same {
		reply.Revisions = view.Revisions()
	}
	return nil
}

// fetch pulls announced revisions from their sender until they, or newer ones,
// are in force. A team is pulled from only one peer at a time.
func (replicator *Replicator) fetch(ctx context.Context, from string, announced map[ident.TeamID]ident.Revision) error {
	for {
		wanted := newer(announced, replicator.View().Revisions())
		if len(wanted) == 0 {
			return nil
		}
		claimed, busy := replicator.claimFetch(wanted)
		if len(claimed) == 0 {
			if !waitClosed(ctx, busy) {
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

// claimFetch claims those of the wanted teams that no other goroutine is
// pulling. If there are none, busy is closed when one of the teams is released.
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

// pull requests teams once and adopts the settings in the reply.
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
	adopted, failed := replicator.applyReply(reply, teams)
	if len(failed) > 0 {
		return replicator.pullSubtrees(ctx, from, failed)
	}
	if !adopted {
		return errNothingPulled
	}
	return nil
}

// pullSubtrees requests complete subtrees of teams whose delta did not apply.
func (replicator *Replicator) pullSubtrees(ctx context.Context, from string, teams []ident.TeamID) error {
	args := PullArgs{Revisions: make(map[ident.TeamID]ident.Revision, len(teams))}
	for _, team := range teams {
		args.Revisions[team] = 0
	}
	var reply PullReply
	if err := replicator.Call(ctx, from, MethodPull, args, &reply); err != nil {
		return err
	}
	if adopted, _ := replicator.applyReply(reply, teams); !adopted {
		return errNothingPulled
	}
	return nil
}

// applyReply adopts the settings of teams in reply. It reports whether it
// adopted any, and returns the teams whose delta did not apply.
func (replicator *Replicator) applyReply(reply PullReply, teams []ident.TeamID) (adopted bool, failed []ident.TeamID) {
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

// waitClosed waits until signal is closed. It returns false if ctx ends first.
func waitClosed(ctx context.Context, signal chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}
