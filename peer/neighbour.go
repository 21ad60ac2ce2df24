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
	// pushPause is the least time between two announcements to one neighbour:
	// what is adopted in the meantime goes with the next one.
	pushPause = 500 * time.Millisecond
	// pushRetry is the time after a failed announcement.
	pushRetry = time.Second
	// pushTimeout bounds an announcement, which ends when the neighbour has
	// pulled what it lacked.
	pushTimeout = 4 * time.Second
)

// neighbour announces new revisions to one other daemon.
type neighbour struct {
	replicator *Replicator
	address    string
	cancel     context.CancelFunc
	// news holds a token while there may be something to announce.
	news chan struct{}

	mu sync.Mutex
	// known holds the revisions that the neighbour has, as far as it is known.
	known map[ident.TeamID]ident.Revision
}

// run announces until ctx ends.
func (neighbour *neighbour) run(ctx context.Context) {
	defer neighbour.replicator.tasks.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-neighbour.news:
		}
		pause := pushPause
		if err := neighbour.push(ctx); err != nil {
			neighbour.replicator.Metrics.CountEvent(eventPushFailed)
			neighbour.wake()
			pause = pushRetry
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

func (neighbour *neighbour) push(ctx context.Context) error {
	revisions := neighbour.lacks(neighbour.replicator.View())
	if len(revisions) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	args := PushArgs{From: neighbour.replicator.Self.PeerAddress, Revisions: revisions}
	if err := neighbour.replicator.Call(ctx, neighbour.address, MethodPush, args, &Nothing{}); err != nil {
		return err
	}
	neighbour.learn(revisions)
	return nil
}

// wake asks for an announcement. It never blocks.
func (neighbour *neighbour) wake() {
	select {
	case neighbour.news <- struct{}{}:
	default:
	}
}

// lacks returns the revisions of view that the neighbour is not known to have.
func (neighbour *neighbour) lacks(view *settings.View) map[ident.TeamID]ident.Revision {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	return newer(view.Revisions(), neighbour.known)
}

// learn notes revisions that the neighbour has.
func (neighbour *neighbour) learn(revisions map[ident.TeamID]ident.Revision) {
	neighbour.mu.Lock()
	defer neighbour.mu.Unlock()
	if neighbour.known == nil {
		neighbour.known = make(map[ident.TeamID]ident.Revision, len(revisions))
	}
	for team, revision := range revisions {
		neighbour.known[team] = max(neighbour.known[team], revision)
	}
}

// forget replaces what the neighbour has by what it said: it may have been
// replaced by a process that knows less.
func (neighbour *neighbour) forget(revisions map[ident.TeamID]ident.Revision) {
	neighbour.mu.Lock()
	neighbour.known = maps.Clone(revisions)
	neighbour.mu.Unlock()
	neighbour.wake()
}

// newer returns the revisions of one that are above those of other.
func newer(one, other map[ident.TeamID]ident.Revision) map[ident.TeamID]ident.Revision {
	found := make(map[ident.TeamID]ident.Revision)
	for team, revision := range one {
		if revision > other[team] {
			found[team] = revision
		}
	}
	return found
}
