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

// fakeStore is a table with one row whose version is its value. While it is
// silent, calls are swallowed: they end with their context, or as given up by
// platform.Store.
type fakeStore struct {
	mu        sync.Mutex
	version   ident.Revision
	forgotten ident.Revision
	silent    bool
	err       error
	calls     int
}

func (store *fakeStore) set(change func(store *fakeStore)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	change(store)
}

func (store *fakeStore) read() (platform.Records, bool, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.calls++
	row := platform.Record{Table: "op", Key: "config", Version: store.version}
	return platform.Records{Records: []platform.Record{row}, Version: store.version}, store.silent, store.err
}

func (store *fakeStore) readAll(ctx context.Context, _ platform.TableName, _ platform.Part) (platform.Records, error) {
	records, silent, err := store.read()
	if silent {
		return platform.Records{}, swallow(ctx, 0)
	}
	return records, err
}

// swallow ends like a call to a silent store.
func swallow(ctx context.Context, wait ident.Milliseconds) error {
	select {
	case <-ctx.Done():
	case <-time.After(wait.Duration() + platform.AnswerSilence):
	}
	return platform.ErrLost
}

// oldest returns the version before which changes are forgotten.
func (store *fakeStore) oldest() ident.Revision {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.forgotten
}

// changes holds a call until there is a change, and looks for one every 10 ms.
func (store *fakeStore) changes(ctx context.Context, _ platform.TableName, after ident.Revision, wait ident.Milliseconds) (platform.Records, error) {
	end := time.Now().Add(wait.Duration())
	records, silent, err := store.read()
	if silent {
		return platform.Records{}, swallow(ctx, wait)
	}
	for err == nil && records.Version <= after && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		store.mu.Lock()
		records.Version = store.version
		records.Records[0].Version = store.version
		store.mu.Unlock()
	}
	if err == nil && after < store.oldest() {
		return platform.Records{}, platform.ErrHistoryLost
	}
	if records.Version <= after {
		records.Records = nil
	}
	return records, err
}

// watched is a followed table with what was heard of it.
type watched struct {
	table *follow.Table

	mu        sync.Mutex
	version   ident.Revision
	wholes    int
	reachable bool
	done      chan struct{}
}

func (watched *watched) take(records []platform.Record, _ ident.Revision) {
	watched.mu.Lock()
	defer watched.mu.Unlock()
	for _, record := range records {
		watched.version = max(watched.version, record.Version)
	}
}

func (watched *watched) seen() ident.Revision {
	watched.mu.Lock()
	defer watched.mu.Unlock()
	return watched.version
}

func (watched *watched) run(ctx context.Context) {
	defer close(watched.done)
	watched.table.Run(ctx)
}

func watch(store *fakeStore, wait ident.Milliseconds) *watched {
	made := &watched{done: make(chan struct{})}
	made.table = &follow.Table{
		Name:    "op",
		Wait:    func() ident.Milliseconds { return wait },
		ReadAll: store.readAll,
		Changes: store.changes,
		Replaced: func(records []platform.Record, version ident.Revision) {
			made.take(records, version)
			made.mu.Lock()
			made.wholes++
			made.mu.Unlock()
		},
		Changed: made.take,
		Reachable: func(reachable bool) {
			made.mu.Lock()
			made.reachable = reachable
			made.mu.Unlock()
		},
		Logger: logging.Component(nil, "follow"),
	}
	return made
}

// TestSwallowedCall is the cause of the broken rule CONFIG on a day whose store
// fell silent: the call that it swallowed kept the router from asking again for
// 9.5 s, and a version accepted meanwhile was in force seconds too late.
func TestSwallowedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const contact, apply = 3 * time.Second, 2 * time.Second
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{version: 1}
		watched := watch(store, 2500)
		go watched.run(ctx)
		time.Sleep(time.Second)
		store.set(func(store *fakeStore) { store.silent = true })
		time.Sleep(4 * time.Second)
		store.set(func(store *fakeStore) { store.silent = false })
		time.Sleep(contact)
		store.set(func(store *fakeStore) { store.version = 7 })
		time.Sleep(apply)
		if got, want := watched.seen(), ident.Revision(7); got != want {
			t.Errorf("got version %d %v after it was accepted, want %d", got, apply, want)
		}
		cancel()
		<-watched.done
	})
}

func TestLostHistoryIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{version: 1}
		watched := watch(store, 500)
		go watched.run(ctx)
		time.Sleep(2 * time.Second)
		store.set(func(store *fakeStore) { store.version, store.forgotten = 9, 8 })
		time.Sleep(time.Second)
		if got, want := watched.seen(), ident.Revision(9); got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
		watched.mu.Lock()
		if got, want := watched.wholes, 2; got != want {
			t.Errorf("got %d whole reads, want %d", got, want)
		}
		watched.mu.Unlock()
		cancel()
		<-watched.done
	})
}

func TestRefusingStoreIsAskedSparingly(t *testing.T) {
	for _, failure := range []error{platform.ErrUnavailable, platform.ErrLost} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := &fakeStore{version: 1, err: failure}
			watched := watch(store, 500)
			go watched.run(ctx)
			time.Sleep(10 * time.Second)
			store.set(func(store *fakeStore) {
				if got, most := store.calls, 60; got > most {
					t.Errorf("got %d calls in 10 s to a store that answers %v, want at most %d", got, failure, most)
				}
				store.err = nil
			})
			time.Sleep(time.Second)
			if got, want := watched.seen(), ident.Revision(1); got != want {
				t.Errorf("got version %d a second after the store's return, want %d", got, want)
			}
			cancel()
			<-watched.done
		})
	}
}
