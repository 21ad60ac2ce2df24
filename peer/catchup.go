package peer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// compareEvery is the mean time between two comparisons with a neighbour,
	// which are taken in turn.
	compareEvery = 2 * time.Second
	// compareTimeout bounds one comparison, with the pull that follows it.
	compareTimeout = 3 * time.Second
	// fleetPolls is the number of polls of the store per second that the whole
	// fleet shares.
	fleetPolls = 20
	// leastPollEvery is the mean time between two polls in a small fleet.
	leastPollEvery = 10 * time.Second
	// storeTimeout bounds one read of the store.
	storeTimeout = 3 * time.Second
	// firstStart and lastStart bound the wait between two tries to become ready.
	firstStart = 100 * time.Millisecond
	lastStart  = 5 * time.Second
)

// starter makes a replicator ready.
type starter struct {
	replicator *Replicator
}

// loop tries to become ready until it succeeds.
func (starter *starter) loop(ctx context.Context) {
	replicator := starter.replicator
	defer replicator.tasks.Done()
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstStart
	waits.MaxInterval = lastStart
	for !replicator.Ready() {
		if replicator.poll(ctx) != nil && replicator.confirmedByPeers(ctx) {
			replicator.becomeReady(eventReadyPeers)
		}
		if !replicator.Ready() && !wait.Sleep(ctx, waits.NextBackOff()) {
			return
		}
	}
}

// poller keeps a replicator up to date with the store.
type poller struct {
	replicator *Replicator
}

// loop reads the store at a rate that falls with the size of the fleet.
func (poller *poller) loop(ctx context.Context) {
	replicator := poller.replicator
	defer replicator.tasks.Done()
	for wait.Sleep(ctx, wait.Jitter(replicator.pollEvery())) {
		if replicator.Ready() {
			// A failure is counted; the next poll comes at its time, so that
			// an outage brings no more reads.
			_ = replicator.poll(ctx)
		}
	}
}

// comparer keeps a replicator up to date with its neighbours.
type comparer struct {
	replicator *Replicator
}

// loop compares the view with one neighbour after another.
func (comparer *comparer) loop(ctx context.Context) {
	replicator := comparer.replicator
	defer replicator.tasks.Done()
	every := replicator.CompareEvery
	if every == 0 {
		every = compareEvery
	}
	var turn []*neighbour
	for wait.Sleep(ctx, wait.Jitter(every)) {
		if len(turn) == 0 {
			turn = replicator.neighbourList()
		}
		if len(turn) == 0 {
			continue
		}
		// A neighbour that does not answer is met again in the next turn.
		_, _ = replicator.compare(ctx, turn[0])
		turn = turn[1:]
	}
}

func (replicator *Replicator) pollEvery() time.Duration {
	least := replicator.LeastPollEvery
	if least == 0 {
		least = leastPollEvery
	}
	return max(least, time.Duration(replicator.fleet())*time.Second/fleetPolls)
}

// poll reads the heads of the store and loads what is newer there. The daemon
// is ready after a poll that succeeded.
func (replicator *Replicator) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := replicator.readStore(ctx)
	if err != nil {
		replicator.Metrics.CountEvent(eventStoreFailed)
		return err
	}
	replicator.becomeReady(eventReadyStore)
	return nil
}

// readSnapshot spares a new daemon the reading of every subtree in the table.
func (replicator *Replicator) readSnapshot(ctx context.Context) {
	if replicator.Snapshot == nil || replicator.View().Teams() > 0 {
		return
	}
	subtrees, err := replicator.Snapshot(ctx)
	if err != nil {
		// The table has it all.
		return
	}
	for _, subtree := range subtrees {
		replicator.adopt(subtree)
	}
}

func (replicator *Replicator) readStore(ctx context.Context) error {
	heads, err := replicator.Heads(ctx)
	if err != nil {
		return err
	}
	replicator.readSnapshot(ctx)
	view := replicator.View().Revisions()
	if ahead := newer(view, heads); len(ahead) > 0 {
		// A commit between the read and the look at the view does this too.
		replicator.Metrics.CountEvent(eventStoreOlder)
	}
	wanted := newer(heads, view)
	if len(wanted) == 0 {
		return nil
	}
	teams := make([]ident.TeamID, 0, len(wanted))
	for team := range wanted {
		teams = append(teams, team)
	}
	subtrees, err := replicator.Load(ctx, teams...)
	if err != nil {
		return err
	}
	for _, subtree := range subtrees {
		replicator.adopt(subtree)
	}
	if left := newer(heads, replicator.View().Revisions()); len(left) > 0 {
		return errors.Newf("the store lacks the settings of %d teams", len(left))
	}
	return nil
}

// compare brings this daemon to what a neighbour has in force, and announces to
// the neighbour what it lacks. It reports whether the neighbour is ready itself.
func (replicator *Replicator) compare(ctx context.Context, neighbour *neighbour) (ready bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	view := replicator.View()
	args := CompareArgs{Digest: view.Digest()}
	var reply CompareReply
	if err := replicator.Call(ctx, neighbour.address, MethodCompare, args, &reply); err != nil {
		return false, err
	}
	if reply.Same {
		neighbour.learn(view.Revisions())
		return reply.Ready, nil
	}
	neighbour.forget(reply.Revisions)
	return reply.Ready, replicator.fetch(ctx, neighbour.address, reply.Revisions)
}

// confirmedByPeers compares with every neighbour and reports whether most of
// those that may be ready confirmed what is now in force. One that says that it
// is not ready itself confirms nothing and holds nothing up.
func (replicator *Replicator) confirmedByPeers(ctx context.Context) bool {
	neighbours := replicator.neighbourList()
	answers := make([]comparison, len(neighbours))
	var group errgroup.Group
	for i, neighbour := range neighbours {
		answers[i] = comparison{replicator: replicator, neighbour: neighbour}
		group.Go(func() error { return answers[i].run(ctx) })
	}
	// An error is that of one neighbour, which then has not confirmed.
	_ = group.Wait()
	confirmed, candidates := 0, 0
	for _, answer := range answers {
		if answer.err == nil && answer.ready {
			confirmed++
		}
		if answer.err != nil || answer.ready {
			candidates++
		}
	}
	return confirmed > candidates/2
}

// comparison is one of several comparisons at the same time.
type comparison struct {
	replicator *Replicator
	neighbour  *neighbour
	ready      bool
	err        error
}

func (comparison *comparison) run(ctx context.Context) error {
	comparison.ready, comparison.err = comparison.replicator.compare(ctx, comparison.neighbour)
	return comparison.err
}

func (replicator *Replicator) becomeReady(event string) {
	if replicator.ready.Swap(true) {
		return
	}
	replicator.Metrics.CountEvent(event)
	replicator.logger().Info("Ready.", "by", event, "teams", replicator.View().Teams())
}
