package forward_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
)

// changer changes the configuration and the upstreams of a router in series, until stop is closed.
type changer struct {
	router *router
	stop   chan struct{}
	done   chan struct{}
}

func (changer *changer) run() {
	defer close(changer.done)
	known := changer.router.handler.Registry
	listed := known.Upstreams()
	for version := 8; ; version++ {
		select {
		case <-changer.stop:
			return
		default:
		}
		config := testConfig()
		config.Version = routing.Version(version)
		config.Services[0].Slots, config.Services[0].CacheTokens = testSlots, testMemory
		switch version % 5 {
		case 0:
			config.Routes = config.Routes[:1]
		case 1:
			config.Services = nil
		case 2:
			config.Workspaces = nil
		case 3:
			config.Routes[0].AllowedRegions = []ident.Region{"north"}
			config.Workspaces[0].AllowedRegions = []ident.Region{}
		}
		changer.router.handler.Routes.Adopt(routing.New(config))
		for i := range listed {
			listed[i].Version = ident.Revision(version)
		}
		known.Replace(time.Now(), ident.Revision(version), listed[:version%3])
		changer.router.handler.Connections.Retain(known.Upstreams())
		time.Sleep(time.Millisecond)
	}
}

// TestRequestsBesideChangesAreAnswered guards against a request that gets neither an answer nor a
// refusal, or a panic of its handler, as a route, service, workspace or upstream is taken away
// while it runs.
func TestRequestsBesideChangesAreAnswered(t *testing.T) {
	router := startRoomRouter(t, startUpstream(t, echo), startUpstream(t, echo))
	changer := &changer{router: router, stop: make(chan struct{}), done: make(chan struct{})}
	go changer.run()
	var group sync.WaitGroup
	var answered atomic.Int64
	end := time.Now().Add(2 * time.Second)
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x", "/public/x"} {
		group.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				got := router.send(t, fmt.Sprint(path, number), http.MethodPost, path, "body", "Hickoryhead-Prompt-Prefix", "5c:800,91:250")
				if got.status == http.StatusOK {
					answered.Add(1)
				}
				if got.err != nil {
					t.Errorf("got error %v for request %d to %s, want an answer", got.err, number, path)
					return
				}
			}
		})
	}
	group.Wait()
	close(changer.stop)
	<-changer.done
	if answered.Load() == 0 {
		t.Error("got no request answered with 200, want some")
	}
}
