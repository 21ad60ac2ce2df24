package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/strike"
)

// lateStore is a store that gives no answer to the first transaction, and performs it when perform
// is called.
type lateStore struct {
	standin.Platform
	once sync.Once
	body []byte
	// held is closed when the first transaction has arrived.
	held chan struct{}
}

func (store *lateStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if strings.HasSuffix(request.URL.Path, "/rows-tx") {
		first := false
		store.once.Do(func() { first = true })
		if first {
			body, _ := io.ReadAll(request.Body)
			store.body = body
			close(store.held)
			<-request.Context().Done()
			return
		}
	}
	store.Platform.ServeHTTP(writer, request)
}

// perform performs the transaction that got no answer.
func (store *lateStore) perform() {
	request := httptest.NewRequest(http.MethodPost, "/rows-tx", bytes.NewReader(store.body))
	store.Platform.ServeHTTP(httptest.NewRecorder(), request)
}

// TestLateWriteOfAStrike guards against the row of a strike that was withdrawn and is there again
// since the store performs late what it gave no answer to: a router that starts would count it.
func TestLateWriteOfAStrike(t *testing.T) {
	store := &lateStore{held: make(chan struct{})}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	set, err := metrics.New("entry")
	if err != nil {
		t.Fatal(err)
	}
	var ranOn atomic.Bool
	guard := &strike.Guard{WroteAfter: func(upstream ident.UpstreamID, _ registry.Incarnation) time.Time {
		if ranOn.Load() && strings.HasPrefix(string(upstream), "sound") {
			return time.Now().Add(time.Minute)
		}
		return time.Time{}
	}}
	strikeStore := &strikeStore{
		store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), nil), guard: guard, metrics: set,
		logger: logging.Component(nil, "strike"), read: make(chan struct{}), unsaved: make(chan struct{}, 1),
		late: lateCalls{lateTime: 5 * time.Second},
	}
	guard.OnUnsaved = strikeStore.announce
	var withdrawn, counted []strike.Strike
	for n, upstream := range []ident.UpstreamID{"sound-1", "sound-2", "broken-1", "broken-2"} {
		crash := strike.Strike{Fingerprint: ident.Fingerprint(1 + n/2), Upstream: upstream, Incarnation: 1, SentAt: time.Now().Add(-time.Second), At: time.Now()}
		guard.Broken(time.Now(), strike.Request{Fingerprint: crash.Fingerprint}, crash)
		if crash.Fingerprint == 1 {
			withdrawn = append(withdrawn, crash)
		} else {
			counted = append(counted, crash)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { strikeStore.run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	waitForRows := func(strikes []strike.Strike, want bool) {
		t.Helper()
		for _, strike := range strikes {
			for end := time.Now().Add(10 * time.Second); store.Has(platform.StrikeName(strike)) != want; time.Sleep(20 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("timed out, want row of %s to be there: %v", strike.Upstream, want)
				}
			}
		}
	}
	<-store.held
	waitForRows(withdrawn, true)
	ranOn.Store(true)
	guard.Maintain(time.Now())
	waitForRows(withdrawn, false)
	store.perform()
	if !store.Has(platform.StrikeName(withdrawn[0])) {
		t.Fatal("got no row behind the late transaction, want one")
	}
	waitForRows(withdrawn, false)
	waitForRows(counted, true)
}
