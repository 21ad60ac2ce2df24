package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// evacuateTime is the users' bound from the acknowledgement of an evacuation by the
	// store until no request may reach the zone.
	evacuateTime = 5 * time.Second
	// stretchTime is by how much an unstable store may extend it.
	stretchTime = 6 * time.Second
)

// writeZone writes the row of an upstream in a zone.
func (fixture *fixture) writeZone(id string, zone ident.Zone) {
	row := fixture.rowOf(id)
	row.Zone = zone
	fixture.writeRow(id, row)
}

// evacuate requests the evacuation of a zone, or ends it.
func (fixture *fixture) evacuate(zone ident.Zone, evacuated bool) {
	if !evacuated {
		fixture.store.Remove(platform.EvacuationName(zone))
		return
	}
	fixture.store.Write(platform.EncodeEvacuation(evacuation.State{Zone: zone, Evacuated: true}))
}

// newZoneFixture returns a fixture with one upstream in each of the zones a and b.
func newZoneFixture(t *testing.T) *fixture {
	fixture := newFixture(t, "i-a", "i-b")
	fixture.writeZone("i-a", "a")
	fixture.writeZone("i-b", "b")
	return fixture
}

// newRouterBeside returns another router of the same store and upstreams, which is not started.
func newRouterBeside(first *fixture, vm ident.VMID) *fixture {
	other := &fixture{t: first.t, store: first.store, storeAddress: first.storeAddress, upstreams: first.upstreams, config: first.config}
	other.config.VM = vm
	return other
}

// servedBy reports whether all of some requests are served by the upstream with the given ID
// alone.
func (fixture *fixture) servedBy(id string) bool {
	for range 8 {
		if status, body, _ := fixture.get("/first/x"); status != 200 || body != id {
			return false
		}
	}
	return true
}

// refused reports whether a request is refused since all zones are evacuated.
func (fixture *fixture) refused() bool {
	status, body, header := fixture.get("/first/x")
	return status == 503 && strings.HasPrefix(body, "HH2019") && header.Get("Retry-After") != ""
}

// TestEvacuationIsInForceAtAllRouters guards against a router that continues to send to an
// evacuated zone, that refuses nothing where no other zone is left, or that doesn't return to
// a zone: with two zones that are evacuated in turn.
func TestEvacuationIsInForceAtAllRouters(t *testing.T) {
	first := newZoneFixture(t)
	routers := []*fixture{first}
	for n := range 4 {
		routers = append(routers, newRouterBeside(first, ident.VMID(fmt.Sprint("vm-", n+2))))
	}
	for _, router := range routers {
		router.start()
	}
	all := func(what string, condition func(router *fixture) bool) {
		t.Helper()
		began := time.Now()
		for n, router := range routers {
			router.waitFor(evacuateTime, fmt.Sprint(what, " at router ", n), func() bool { return condition(router) })
		}
		t.Logf("%s at all routers after %v", what, time.Since(began))
	}
	all("readiness", (*fixture).ready)
	inB := func(router *fixture) bool { return router.servedBy("i-b") }
	first.evacuate("a", true)
	all("evacuation of a", inB)
	before := first.upstreams["i-a"].served.Load()
	for _, router := range routers {
		if !router.servedBy("i-b") {
			t.Error("got an answer from the evacuated zone, or none")
		}
	}
	if got := first.upstreams["i-a"].served.Load(); got != before {
		t.Errorf("got %d requests in the evacuated zone, want none", got-before)
	}
	first.evacuate("b", true)
	all("refusal while both zones are evacuated", (*fixture).refused)
	first.evacuate("a", false)
	all("evacuation of b alone", func(router *fixture) bool { return router.servedBy("i-a") })
	first.evacuate("b", false)
	all("log lines of both evacuations and their ends", func(router *fixture) bool {
		log := router.log.String()
		return strings.Count(log, "Zone evacuated.") == 2 && strings.Count(log, "Evacuation of a zone ended.") == 2
	})
}

// TestEvacuationBesideAConfiguration guards against an evacuation that is skipped since the
// router has a newer configuration from another router, whose row is newer in the same table.
func TestEvacuationBesideAConfiguration(t *testing.T) {
	first := newZoneFixture(t)
	others := []*fixture{newRouterBeside(first, "vm-2"), newRouterBeside(first, "vm-3"), newRouterBeside(first, "vm-4")}
	first.start()
	for _, router := range others {
		router.start()
		router.waitFor(3*time.Second, "readiness", router.ready)
	}
	for n, zone := range []ident.Zone{"a", "b", "a"} {
		other := map[ident.Zone]string{"a": "i-b", "b": "i-a"}[zone]
		prefix := fmt.Sprintf("/v%d/", n+2)
		first.evacuate(zone, true)
		first.writeConfig(n+2, prefix)
		for _, router := range others {
			router.waitFor(evacuateTime, "evacuation and configuration", func() bool {
				for range 6 {
					if status, body, _ := router.get(prefix + "x"); status != 200 || body != other {
						return false
					}
				}
				return true
			})
		}
		first.evacuate(zone, false)
	}
}

// TestRestartDuringAnEvacuation guards against a router that sends to an evacuated zone after
// a planned stop and a restart, since it keeps nothing of its earlier run.
func TestRestartDuringAnEvacuation(t *testing.T) {
	for _, linkMbps := range []float64{0, 10} {
		first := newZoneFixture(t)
		second := newRouterBeside(first, "vm-2")
		second.config.LinkMbps = linkMbps
		first.start()
		second.start()
		first.waitFor(3*time.Second, "readiness", first.ready)
		first.evacuate("a", true)
		second.waitFor(evacuateTime, "evacuation", func() bool { return second.servedBy("i-b") })
		before := first.upstreams["i-a"].served.Load()
		second.config.StopTimeoutMs = 1000
		second.cancel()
		<-second.done
		second.start()
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
			if status, body, _ := second.get("/first/x"); status == 200 && body != "i-b" {
				t.Fatalf("got an answer of %s from a router that has started during the evacuation, want one of i-b", body)
			}
		}
		if got := first.upstreams["i-a"].served.Load(); got != before {
			t.Errorf("got %d requests in the evacuated zone, want none", got-before)
		}
		second.waitFor(time.Second, "service in the other zone", func() bool { return second.servedBy("i-b") })
	}
}

// faultyStore passes calls to a store, unless they are refused.
type faultyStore struct {
	proxy   *httputil.ReverseProxy
	refuses atomic.Bool
	slow    atomic.Int64
}

func newFaultyStore(t *testing.T, address string) (*faultyStore, string) {
	t.Helper()
	store := &faultyStore{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, strings.TrimPrefix(server.URL, "http://")
}

func (store *faultyStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(time.Duration(store.slow.Load()))
	if store.refuses.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	store.proxy.ServeHTTP(writer, request)
}

// TestEvacuationWithAnUnstableStore guards against an evacuation that doesn't reach a router
// because the store is slow, refuses that router or has dropped its history, and against one
// that ends because the store is unavailable.
func TestEvacuationWithAnUnstableStore(t *testing.T) {
	type stage struct {
		name string
		// disturb is called before the evacuation is requested, and mend after it has to be
		// in force.
		disturb, mend func(first *fixture, second *faultyStore)
		within        time.Duration
	}
	stages := []stage{
		{"refuses one router", func(_ *fixture, second *faultyStore) { second.refuses.Store(true) }, func(_ *fixture, second *faultyStore) { second.refuses.Store(false) }, evacuateTime},
		{"is slow", func(first *fixture, _ *faultyStore) { first.store.Switch(standin.PlatformSwitches{SlowMs: 700}) }, func(first *fixture, _ *faultyStore) { first.store.Switch(standin.PlatformSwitches{}) }, evacuateTime + stretchTime},
		{"is slow for one router", func(_ *fixture, second *faultyStore) { second.slow.Store(int64(3 * time.Second)) }, func(_ *fixture, second *faultyStore) { second.slow.Store(0) }, evacuateTime},
	}
	for _, stage := range stages {
		t.Run(stage.name, func(t *testing.T) {
			t.Parallel()
			first := newZoneFixture(t)
			second := newRouterBeside(first, "vm-2")
			store, address := newFaultyStore(t, first.storeAddress)
			second.config.Platform = address
			for _, router := range []*fixture{first, second} {
				router.start()
				router.waitFor(3*time.Second, "readiness", router.ready)
			}
			stage.disturb(first, store)
			time.Sleep(300 * time.Millisecond)
			first.evacuate("a", true)
			for _, router := range []*fixture{first, second} {
				router.waitFor(stage.within, "evacuation", func() bool { return router.servedBy("i-b") })
			}
			stage.mend(first, store)
			first.evacuate("a", false)
			first.evacuate("b", true)
			first.store.Forget()
			for _, router := range []*fixture{first, second} {
				router.waitFor(evacuateTime, "evacuation from before the history was dropped", func() bool { return router.servedBy("i-a") })
			}
			first.store.Switch(standin.PlatformSwitches{Outage: true})
			time.Sleep(2 * time.Second)
			for _, router := range []*fixture{first, second} {
				if !router.servedBy("i-a") {
					t.Error("got an evacuation that ended when the store was away, want it in force")
				}
			}
		})
	}
}

// TestEvacuationAtARouterThatHearsNoOther guards against a router that waits for others to
// report an evacuation although it receives no messages.
func TestEvacuationAtARouterThatHearsNoOther(t *testing.T) {
	first := newZoneFixture(t)
	lonely := newRouterBeside(first, "vm-2")
	first.start()
	lonely.start()
	lonely.waitFor(3*time.Second, "readiness", lonely.ready)
	first.config.StopTimeoutMs = 1000
	first.cancel()
	<-first.done
	first.evacuate("a", true)
	lonely.waitFor(evacuateTime, "evacuation", func() bool { return lonely.servedBy("i-b") })
}

// TestEvacuationInAnOlderCopyOfTheStore guards against a router that keeps to an evacuation,
// or to its end, that the store has lost since it came back from an older copy.
func TestEvacuationInAnOlderCopyOfTheStore(t *testing.T) {
	first := newZoneFixture(t)
	first.start()
	first.waitFor(3*time.Second, "readiness", first.ready)
	earlier := first.store.Copy()
	first.evacuate("a", true)
	first.waitFor(evacuateTime, "evacuation", func() bool { return first.servedBy("i-b") })
	evacuated := first.store.Copy()
	first.evacuate("a", false)
	first.waitFor(evacuateTime, "end of the evacuation", func() bool { return !first.servedBy("i-b") })
	first.store.Restore(evacuated)
	first.waitFor(evacuateTime, "evacuation of the older copy", func() bool { return first.servedBy("i-b") })
	first.store.Restore(earlier)
	first.waitFor(evacuateTime, "end in a copy from before the evacuation", func() bool { return !first.servedBy("i-b") })
}
