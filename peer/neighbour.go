package peer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// minPushInterval is the minimum time between two announcements to one
	// neighbour. Revisions adopted in between are announced together.
	minPushInterval = 500 * time.Millisecond
	// pushRetryDelay is the time between a failed announcement and the next.
	pushRetryDelay = time.Second
	// pushTimeout bounds an announcement. The call returns when the neighbour
	// has pulled the revisions that it did not have.
	pushTimeout = 4 * time.Second
)

// neighbour announces new revisions to one other daemon.
type neighbour struct {
	replicator *Replicator
	address    string
	cancel     context.CancelFunc
	// wakeup has capacity 1 and is filled while there may be revisions to
	// announce.
	wakeup chan struct{}

	mu sync.Mutex
	// known holds the revisions that the neighbour is known to have.
	known map[ident.TeamID]ident.Revision
}

// run announces new revisions until ctx ends.
func (neighbour *neighbour) run(ctx context.Context) {
	defer neighbour.replicator.tasks.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-neighbour.wakeup:
		}
		delay := minPushInterval
		if err := neighbour.push(ctx); err != nil {
			neighbour.replicator.Metrics.CountEvent(eventPushFailed)
			neighbour.wake()
			delay = pushRetryDelay
		}
		if !wait.Sleep(ctx, delay) {
			return
		}
	}
}

func (neighbour *neighbour) push(ctx context.Context) error {
	revisions := neighbour.missingRevisions(neighbour.replicator.View())
	if len(revisions) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	args := PushArgs{From: neighbour.replicator.Self.PeerAddress, Revisions: revisions}
	if err := neighbour.replicator.Call(ctx, neighbour.address, MethodPush, args, &Nothing{}); err != nil {
		return err
	}
	neighbour.addKnown(revisions)
	return nil
}

// wake schedules an announcement. It never blocks.
func (neighbour *neighbour) wake() {
	select {
	case neighbour.wakeup <- struct{}{}:
	default:
	}
}

// missingRevisions returns the revisions of view that the neighbour is not known
// to have.
func (neighbour *neighbour) missingRevisions(view *settings.View) map[ident.TeamID]ident.Revision {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	return newer(view.Revisions(), neighbour.known)
}

// addKnown records revisions that the neighbour has.
func (neighbour *neighbour) addKnown(revisions map[ident.TeamID]ident.Revision) {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	if neighbour.known == nil {
		neighbour.known = make(map[ident.TeamID]ident.Revision, len(revisions))
	}
	for team, revision := range revisions {
		neighbour.known[team] = max(neighbour.known[team], revision)
	}
}

// resetKnown replaces the revisions that the neighbour is known to have. They may
// be lower than before, since the neighbour may have restarted. It then
// schedules an announcement.
func (neighbour *neighbour) resetKnown(revisions map[ident.TeamID]ident.Revision) {
	neighbour.mu.Lock()
	neighbour.known = maps.Clone(revisions)
	neighbour.mu.Unlock()
	neighbour.wake()
}

// newer returns the entries of revisions that are above those of base. A team
// that base does not have counts as revision zero.
func newer(revisions, base map[ident.TeamID]ident.Revision) map[ident.TeamID]ident.Revision {
	result := make(map[ident.TeamID]ident.Revision)
	for team, revision := range revisions {
		if revision > base[team] {
			result[team] = revision
		}
	}
	return result
}
