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
	// concurrentCommits is the number of batches that are committed at the same
	// time, so that one lost answer does not delay all claims.
	concurrentCommits = 4
	// commitTimeout limits a commit. Afterwards its answer counts as lost.
	commitTimeout = 2 * time.Second
	// initialWritesPerSecond is the write rate of a new writer.
	initialWritesPerSecond = 50
	// maxWriteBurst is the largest number of writes in immediate succession.
	maxWriteBurst = 4
)

// writer commits the transactions of many attempts in batches.
type writer struct {
	commit  func(ctx context.Context, transaction platform.Transaction) (ident.Revision, error)
	limiter *rate.Limiter
	metrics *metrics.Set
	// wake holds a token while there may be work for another loop.
	wake chan struct{}
	// limiterSlot is held by the loop that waits for the limiter, so that no
	// other loop spends a write on an empty batch.
	limiterSlot chan struct{}

	mutex          sync.Mutex
	rateController claim.RateController
	batcher        claim.Batcher
	// results holds the channel that receives the result of each queued item.
	results map[claim.ItemID]chan claim.ItemResult
}

func newWriter(table *platform.Client, maxWritesPerSecond float64, set *metrics.Set) *writer {
	return &writer{
		commit:         table.Commit,
		limiter:        rate.NewLimiter(initialWritesPerSecond, maxWriteBurst),
		metrics:        set,
		wake:           make(chan struct{}, 1),
		limiterSlot:    make(chan struct{}, 1),
		rateController: claim.RateController{MaxRate: maxWritesPerSecond, Rate: initialWritesPerSecond},
		results:        make(map[claim.ItemID]chan claim.ItemResult),
	}
}

// start starts the commit loops. They run until ctx is done.
func (writer *writer) start(ctx context.Context) {
	for range concurrentCommits {
		go writer.loop(ctx)
	}
}

// write queues a transaction. The returned channel receives its result once, or
// nothing if the writer stops before.
func (writer *writer) write(transaction platform.Transaction) <-chan claim.ItemResult {
	result := make(chan claim.ItemResult, 1)
	writer.mutex.Lock()
	writer.results[writer.batcher.Add(transaction)] = result
	writer.mutex.Unlock()
	writer.signal()
	return result
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
		if batch := writer.waitForBatch(ctx); len(batch) > 0 {
			writer.commitBatch(ctx, batch)
		}
	}
}

// waitForBatch returns the next batch once the limiter allows a write.
// Transactions that arrive in the meantime join the batch.
func (writer *writer) waitForBatch(ctx context.Context) []claim.Item {
	writer.limiterSlot <- struct{}{}
	defer writer.releaseLimiterSlot()
	if writer.empty() || writer.limiter.Wait(ctx) != nil {
		return nil
	}
	return writer.takeBatch()
}

func (writer *writer) releaseLimiterSlot() { <-writer.limiterSlot }

func (writer *writer) empty() bool {
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

func (writer *writer) takeBatch() []claim.Item {
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
	results := writer.batcher.Resolve(batch, revision, err)
	for _, result := range results {
		writer.results[result.ID] <- result
		delete(writer.results, result.ID)
		writer.metrics.CountEvent(resultEvents[result.Result])
	}
	writer.adjustRate(results)
	if writer.batcher.Len() > 0 {
		writer.signal()
	}
}

// adjustRate adapts the write rate to the limit of the table, which all
// sidecars share. results are those of one commit.
func (writer *writer) adjustRate(results []claim.ItemResult) {
	if len(results) == 0 {
		return
	}
	accepted := results[0].Result == claim.CommitApplied || results[0].Result == claim.CommitConflicted
	writer.rateController.RecordWrite(accepted)
	writer.limiter.SetLimit(rate.Limit(writer.rateController.Rate))
	writer.metrics.CountEvent("claim.writes")
}

// resultEvents holds the metric event that is counted for each result.
var resultEvents = map[claim.CommitResult]string{
	claim.CommitApplied:     "claim.applied",
	claim.CommitConflicted:  "claim.conflicted",
	claim.CommitUnavailable: "claim.unavailable",
	claim.CommitLost:        "claim.lost",
}
