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
	// compareInterval is the mean time between two comparisons. Each one is
	// with the next neighbour in turn.
	compareInterval = 2 * time.Second
	// compareTimeout bounds one comparison, including the pull that follows it.
	compareTimeout = 3 * time.Second
	// fleetPollsPerSecond limits how often all daemons together poll the store.
	fleetPollsPerSecond = 20
	// minPollInterval is the mean time between two polls of one daemon. In a
	// large fleet, fleetPollsPerSecond makes the interval longer.
	minPollInterval = 10 * time.Second
	// storeTimeout bounds one read of the store.
	storeTimeout = 3 * time.Second
	// initialReadyBackoff and maxReadyBackoff bound the wait between two
	// attempts to become ready.
	initialReadyBackoff = 100 * time.Millisecond
	maxReadyBackoff     = 5 * time.Second
)

// starter retries until a replicator is ready.
type starter struct {
	replicator *Replicator
}

// loop reads the store, or compares with all neighbours if the store does not
// answer, until the replicator is ready or ctx ends.
func (starter *starter) loop(ctx context.Context) {
	replicator := starter.replicator
	defer replicator.tasks.Done()
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialReadyBackoff
	retryBackoff.MaxInterval = maxReadyBackoff
	for !replicator.Ready() {
		if replicator.poll(ctx) != nil && replicator.confirmedByPeers(ctx) {
			replicator.becomeReady(eventReadyPeers)
		}
		if !replicator.Ready() && !wait.Sleep(ctx, retryBackoff.NextBackOff()) {
			return
		}
	}
}

// poller periodically loads newer settings from the store.
type poller struct {
	replicator *Replicator
}

// loop polls the store until ctx ends. The larger the fleet, the less often each
// daemon polls.
func (poller *poller) loop(ctx context.Context) {
	replicator := poller.replicator
	defer replicator.tasks.Done()
	for wait.Sleep(ctx, wait.Jitter(replicator.pollInterval())) {
		if replicator.Ready() {
			// poll counts a failure. The next poll waits for its usual time, so
			// that an outage does not increase the load on the store.
			_ = replicator.poll(ctx)
		}
	}
}

// comparer periodically compares settings with the neighbours.
type comparer struct {
	replicator *Replicator
}

// loop compares with one neighbour after another until ctx ends.
func (comparer *comparer) loop(ctx context.Context) {
	replicator := comparer.replicator
	defer replicator.tasks.Done()
	interval := replicator.CompareInterval
	if interval == 0 {
		interval = compareInterval
	}
	var pending []*neighbour
	for wait.Sleep(ctx, wait.Jitter(interval)) {
		if len(pending) == 0 {
			pending = replicator.neighbourList()
		}
		if len(pending) == 0 {
			continue
		}
		// A neighbour that does not answer is compared with again in the next
		// round.
		_, _ = replicator.compare(ctx, pending[0])
		pending = pending[1:]
	}
}

func (replicator *Replicator) pollInterval() time.Duration {
	interval := replicator.MinPollInterval
	if interval == 0 {
		interval = minPollInterval
	}
	return max(interval, time.Duration(replicator.fleetSize())*time.Second/fleetPollsPerSecond)
}

// poll reads the revision of each team from the store and loads the teams that
// are newer there. The daemon is ready after the first successful poll.
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

// readSnapshot adopts the snapshot if this daemon has no settings yet, so that
// a new daemon does not have to read every subtree from the table.
func (replicator *Replicator) readSnapshot(ctx context.Context) {
	if replicator.Snapshot == nil || replicator.View().Teams() > 0 {
		return
	}
	subtrees, err := replicator.Snapshot(ctx)
	if err != nil {
		// The snapshot is only an optimization: the table holds every subtree.
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
	inForce := replicator.View().Revisions()
	if ahead := newer(inForce, heads); len(ahead) > 0 {
		// A change that is adopted after the heads were read is counted as well.
		replicator.Metrics.CountEvent(eventStoreOlder)
		if err := replicator.writeAgain(ctx, ahead); err != nil {
			return err
		}
	}
	wanted := newer(heads, inForce)
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
	if missing := newer(heads, replicator.View().Revisions()); len(missing) > 0 {
		return errors.Newf("store did not return the latest settings of %d teams", len(missing))
	}
	return nil
}

// writeAgain writes the settings of teams to the store that are newer here than there.
func (replicator *Replicator) writeAgain(ctx context.Context, ahead map[ident.TeamID]ident.Revision) error {
	if replicator.WriteAgain == nil {
		return nil
	}
	view := replicator.View()
	for team := range ahead {
		if err := replicator.WriteAgain(ctx, view.Team(team)); err != nil {
			return err
		}
	}
	return nil
}

// compare exchanges revisions with a neighbour, pulls those that are newer
// there, and schedules an announcement of those that the neighbour is missing.
// It reports whether the neighbour is ready.
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
		neighbour.addKnown(view.Revisions())
		return reply.Ready, nil
	}
	neighbour.resetKnown(reply.Revisions)
	return reply.Ready, replicator.fetch(ctx, neighbour.address, reply.Revisions)
}

// confirmedByPeers compares with every neighbour and reports whether a majority
// confirmed the settings in force. Neighbours that answer that they are not
// ready are not counted; those that do not answer count against the majority.
func (replicator *Replicator) confirmedByPeers(ctx context.Context) bool {
	neighbours := replicator.neighbourList()
	comparisons := make([]comparison, len(neighbours))
	var group errgroup.Group
	for i, neighbour := range neighbours {
		comparisons[i] = comparison{replicator: replicator, neighbour: neighbour}
		group.Go(func() error { return comparisons[i].run(ctx) })
	}
	// The errors are evaluated for each neighbour below.
	_ = group.Wait()
	confirmed, candidates := 0, 0
	for _, comparison := range comparisons {
		if comparison.err == nil && comparison.ready {
			confirmed++
		}
		if comparison.err != nil || comparison.ready {
			candidates++
		}
	}
	return confirmed > candidates/2
}

// comparison is a comparison with one neighbour and its result. Several run
// concurrently.
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
