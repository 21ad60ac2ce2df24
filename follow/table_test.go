package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
)

// fakeStore is a table with one row. While it is unresponsive, calls end with
// their context, or when platform.Store ends a call without a response.
type fakeStore struct {
	mu            sync.Mutex
	version       ident.Revision
	oldestVersion ident.Revision
	unresponsive  bool
	err           error
	calls         int
}

func (store *fakeStore) update(change func(store *fakeStore)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	change(store)
}

func (store *fakeStore) read() (platform.Records, bool, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls++
	row := platform.Record{Table: "op", Key: "config", Version: store.version}
	return platform.Records{Records: []platform.Record{row}, Version: store.version}, store.unresponsive, store.err
}

func (store *fakeStore) readAll(ctx context.Context, _ platform.TableName, _ platform.Part) (platform.Records, error) {
	records, unresponsive, err := store.read()
	if unresponsive {
		return platform.Records{}, awaitUnanswered(ctx, 0)
	}
	return records, err
}

// awaitUnanswered blocks and fails as a call to an unresponsive store does.
func awaitUnanswered(ctx context.Context, wait ident.Milliseconds) error {
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration() + platform.ResponseIdleTimeout):
	}
	return platform.ErrLost
}

// historyStart returns the oldest version after which all changes are known.
func (store *fakeStore) historyStart() ident.Revision {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.oldestVersion
}

// changes holds a call until there is a change. It checks for one every 10 ms.
func (store *fakeStore) changes(ctx context.Context, _ platform.TableName, after ident.Revision, wait ident.Milliseconds) (platform.Records, error) {
	end := time.Now().Add(wait.Duration())
	records, unresponsive, err := store.read()
	if unresponsive {
		return platform.Records{}, awaitUnanswered(ctx, wait)
	}
	for err == nil && records.Version <= after && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		store.mu.Lock()
		records.Version = store.version
		records.Records[0].Version = store.version
		store.mu.Unlock()
	}
	if err == nil && after < store.historyStart() {
		return platform.Records{}, platform.ErrHistoryLost
	}
	if records.Version <= after {
		records.Records = nil
	}
	return records, err
}

// harness runs a Table and records what it reports.
type harness struct {
	table *follow.Table

	mu        sync.Mutex
	version   ident.Revision
	fullReads int
	reachable bool
	done      chan struct{}
}

func (harness *harness) record(records []platform.Record, _ ident.Revision) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	for _, record := range records {
		harness.version = max(harness.version, record.Version)
	}
}

func (harness *harness) lastVersion() ident.Revision {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	return harness.version
}

func (harness *harness) run(ctx context.Context) {
	defer close(harness.done)
	harness.table.Run(ctx)
}

func newHarness(store *fakeStore, wait ident.Milliseconds) *harness {
	harness := &harness{done: make(chan struct{})}
	harness.table = &follow.Table{
		Name:    "op",
		Wait:    func() ident.Milliseconds { return wait },
		ReadAll: store.readAll,
		Changes: store.changes,
		OnReplace: func(records []platform.Record, version ident.Revision) {
			harness.record(records, version)
			harness.mu.Lock()
			harness.fullReads++
			harness.mu.Unlock()
		},
		OnChange: harness.record,
		OnStoreCall: func(reachable bool) {
			harness.mu.Lock()
			harness.reachable = reachable
			harness.mu.Unlock()
		},
		Logger: logging.Component(nil, "follow"),
	}
	return harness
}

// TestUnansweredCall guards the rule CONFIG against a store that is unresponsive
// for a while: a call that the store never answered once kept the router from
// asking again for 9.5 s, and a version accepted in that time came into force
// seconds too late.
func TestUnansweredCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reconnectTime, applyTime = 3 * time.Second, 2 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{version: 1}
		harness := newHarness(store, 2500)
		go harness.run(ctx)
		time.Sleep(time.Second)
		store.update(func(store *fakeStore) { store.unresponsive = true })
		time.Sleep(4 * time.Second)
		store.update(func(store *fakeStore) { store.unresponsive = false })
		time.Sleep(reconnectTime)
		store.update(func(store *fakeStore) { store.version = 7 })
		time.Sleep(applyTime)
		if got, want := harness.lastVersion(), ident.Revision(7); got != want {
			t.Errorf("got version %d, want %d, which was accepted %v ago", got, want, applyTime)
		}
		cancel()
		<-harness.done
	})
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{version: 1}
		harness := newHarness(store, 500)
		go harness.run(ctx)
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.version, store.oldestVersion = 9, 8 })
		time.Sleep(time.Second)
		if got, want := harness.lastVersion(), ident.Revision(9); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
		harness.mu.Lock()
		if got, want := harness.fullReads, 2; got != want {
			t.Errorf("got %d full reads, want %d", got, want)
		}
		harness.mu.Unlock()
		cancel()
		<-harness.done
	})
}

func TestFailingStoreIsCalledSparingly(t *testing.T) {
	for _, failure := range []error{platform.ErrUnavailable, platform.ErrLost} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := &fakeStore{version: 1, err: failure}
			harness := newHarness(store, 500)
			go harness.run(ctx)
			time.Sleep(10 * time.Second)
			store.update(func(store *fakeStore) {
				if got, maxCalls := store.calls, 60; got > maxCalls {
					t.Errorf("got %d calls in 10 s to a store that fails with %v, want at most %d", got, failure, maxCalls)
				}
				store.err = nil
			})
			time.Sleep(time.Second)
			if got, want := harness.lastVersion(), ident.Revision(1); got != want {
				t.Errorf("got version %d one second after the store recovered, want %d", got, want)
			}
			cancel()
			<-harness.done
		})
	}
}
