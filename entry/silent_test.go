package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// contactTime is how long after its connections went silent a router may act on what it
	// knew before.
	contactTime = 3 * time.Second
	// restTime is how long the calls at rest are counted.
	restTime = 20 * time.Second
	// maxReaderCalls and maxOtherCalls bound the calls to the store a second at rest: of the
	// two routers that read closely together, and of each other one.
	maxReaderCalls = 4.8
	maxOtherCalls  = 0.22
)

// countingStore counts the calls to a store.
type countingStore struct {
	store *standin.Platform
	calls atomic.Int64
}

func (store *countingStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.calls.Add(1)
	store.store.ServeHTTP(writer, request)
}

// silentFleet is some routers that each reach the store through a proxy of their own.
type silentFleet struct {
	store   *countingStore
	routers []*fixture
	proxies []*faultproxy.Proxy
}

// newSilentFleet starts routers and waits until all of them are ready.
func newSilentFleet(t *testing.T, count int) *silentFleet {
	t.Helper()
	first := newFixture(t, "i-1", "i-2")
	fleet := &silentFleet{store: &countingStore{store: first.store}}
	server := httptest.NewServer(fleet.store)
	t.Cleanup(server.Close)
	for index := range count {
		proxy, err := faultproxy.Start(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Close)
		router := &fixture{t: t, store: first.store, upstreams: first.upstreams, config: first.config}
		router.config.VM = ident.VMID(fmt.Sprint("vm-", index))
		router.config.Platform = proxy.Address()
		router.start()
		fleet.routers = append(fleet.routers, router)
		fleet.proxies = append(fleet.proxies, proxy)
	}
	// They stop at the same time.
	t.Cleanup(func() {
		for _, router := range fleet.routers {
			router.cancel()
		}
	})
	for _, router := range fleet.routers {
		router.waitFor(10*time.Second, "readiness", router.ready)
	}
	return fleet
}

// silence silences the connections of all routers to the store at once.
func (fleet *silentFleet) silence() {
	for _, proxy := range fleet.proxies {
		proxy.Silence()
	}
}

// restingCalls returns how many calls to the store were made in a second.
func (fleet *silentFleet) restingCalls(length time.Duration) float64 {
	before := fleet.store.calls.Load()
	time.Sleep(length)
	return float64(fleet.store.calls.Load()-before) / length.Seconds()
}

// serves counts the routers that answer a request for path with status 200.
func (fleet *silentFleet) serves(path string) int {
	var group sync.WaitGroup
	served := make([]bool, len(fleet.routers))
	for index, router := range fleet.routers {
		group.Go(func() {
			status, _, _ := router.get(path)
			served[index] = status == 200
		})
	}
	group.Wait()
	count := 0
	for _, ok := range served {
		if ok {
			count++
		}
	}
	return count
}

// TestStoreIsReadAgainAfterSilence guards against routers that act on what they read before
// all their connections to the store went silent (review cases 1 and 3, DRAIN and CONFIG): a
// configuration and a removal of just after that are in force everywhere once the routers
// are in contact again, in a fleet of any size, and the routers call the store no more often
// at rest for that.
func TestStoreIsReadAgainAfterSilence(t *testing.T) {
	for _, count := range []int{3, 18, 103} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			if count > 18 && testing.Short() {
				t.Skip("large fleet")
			}
			fleet := newSilentFleet(t, count)
			time.Sleep(2 * time.Second)
			got, most := fleet.restingCalls(restTime), maxReaderCalls+maxOtherCalls*float64(count)
			t.Logf("%.1f calls to the store a second at rest", got)
			if got > most {
				t.Errorf("got %.1f calls to the store a second at rest, want at most %.1f", got, most)
			}
			fleet.silence()
			silent := time.Now()
			time.Sleep(300 * time.Millisecond)
			first := fleet.routers[0]
			first.writeConfig(2, "/second/")
			first.store.Remove(platform.RowName{Table: platform.ServerTable, Key: "i-1"})
			time.Sleep(time.Until(silent.Add(contactTime)))
			before := first.upstreams["i-1"].served.Load()
			for range 3 {
				if got := fleet.serves("/second/x"); got != count {
					t.Errorf("got %d of %d routers with the new configuration %v after the silence, want all", got, count, contactTime)
				}
			}
			if got := first.upstreams["i-1"].served.Load() - before; got != 0 {
				t.Errorf("got %d requests at an upstream that was removed, want none", got)
			}
		})
	}
}
