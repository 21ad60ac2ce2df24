package claimtable

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// commitLoops is the number of batches that are committed at a time, so
	// that one lost answer does not hold up all claims.
	commitLoops = 4
	// commitTimeout bounds a commit; its answer counts as lost afterwards.
	commitTimeout = 2 * time.Second
	// startRate is the writes a second that a writer starts with.
	startRate = 50
	// writeBurst is the most writes in immediate succession.
	writeBurst = 4
)

// writer commits the transactions of many attempts in batches.
type writer struct {
	commit  func(ctx context.Context, transaction platform.Transaction) (ident.Revision, error)
	limiter *rate.Limiter
	metrics *metrics.Set
	// wake holds a token while there may be work for one more loop.
	wake chan struct{}
	// turn is filled by the loop that waits for the limiter, so that no other
	// spends a write on an empty batch.
	turn chan struct{}

	mutex   sync.Mutex
	rate    claim.RateController
	batcher claim.Batcher
	waiting map[claim.ItemID]chan claim.ItemResult
}

func newWriter(table *platform.Client, mostWrites float64, set *metrics.Set) *writer {
	return &writer{
		commit:  table.Commit,
		limiter: rate.NewLimiter(startRate, writeBurst),
		metrics: set,
		wake:    make(chan struct{}, 1),
		turn:    make(chan struct{}, 1),
		rate:    claim.RateController{MaxRate: mostWrites, Rate: startRate},
		waiting: make(map[claim.ItemID]chan claim.ItemResult),
	}
}

// start runs the writer until ctx is done.
func (writer *writer) start(ctx context.Context) {
	for range commitLoops {
		go writer.loop(ctx)
	}
}

// write hands in a transaction. The channel receives its end, once.
func (writer *writer) write(transaction platform.Transaction) <-chan claim.ItemResult {
	ended := make(chan claim.ItemResult, 1)
	writer.mutex.Lock()
	writer.waiting[writer.batcher.Add(transaction)] = ended
	writer.mutex.Unlock()
	writer.signal()
	return ended
}

func (writer *writer) signal() {
	select {
	case writer.wake <- struct{}{}:
	default:
	}
}

func (writer *writer) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-writer.wake:
		}
		if batch := writer.take(ctx); len(batch) > 0 {
			writer.commitBatch(ctx, batch)
		}
	}
}

// take returns the next batch once the limiter allows a write. What arrives
// until then joins it.
func (writer *writer) take(ctx context.Context) []claim.Item {
	writer.turn <- struct{}{}
	defer writer.leaveTurn()
	if writer.idle() || writer.limiter.Wait(ctx) != nil {
		return nil
	}
	return writer.next()
}

func (writer *writer) leaveTurn() { <-writer.turn }

func (writer *writer) idle() bool {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.batcher.Len() == 0
}

func (writer *writer) commitBatch(ctx context.Context, batch []claim.Item) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := writer.commit(ctx, claim.Merge(batch))
	writer.resolve(batch, revision, err)
}

func (writer *writer) next() []claim.Item {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	batch := writer.batcher.Next()
	if writer.batcher.Len() > 0 {
		writer.signal()
	}
	return batch
}

func (writer *writer) resolve(batch []claim.Item, revision ident.Revision, err error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	all := writer.batcher.Resolve(batch, revision, err)
	for _, settled := range all {
		writer.waiting[settled.ID] <- settled
		delete(writer.waiting, settled.ID)
		writer.metrics.CountEvent(resultEvents[settled.Result])
	}
	writer.adapt(all)
	if writer.batcher.Len() > 0 {
		writer.signal()
	}
}

// adapt keeps the writes of all sidecars together near what the table takes.
func (writer *writer) adapt(all []claim.ItemResult) {
	if len(all) == 0 {
		return
	}
	taken := all[0].Result == claim.CommitApplied || all[0].Result == claim.CommitConflicted
	writer.rate.RecordWrite(taken)
	writer.limiter.SetLimit(rate.Limit(writer.rate.Rate))
	writer.metrics.CountEvent("claim.writes")
}

var resultEvents = map[claim.CommitResult]string{
	claim.CommitApplied:     "claim.applied",
	claim.CommitConflicted:  "claim.conflicted",
	claim.CommitUnavailable: "claim.unavailable",
	claim.CommitLost:        "claim.lost",
}
