package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestWarmupCallsNoEngineOfAnEvacuatedZone guards against a call of an engine whose zone was
// evacuated while the call waited for those before it.
func TestWarmupCallsNoEngineOfAnEvacuatedZone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_ = conn.Close()
		}
	}()
	daemon := new(Daemon)
	warmup := &warmup{daemon: daemon, engines: &platform.Engines{Client: new(oncehttp.Client)}}
	upstream := registry.Upstream{ID: "i-1", Address: listener.Addr().String(), Service: "pool", Zone: "a", Engine: true}
	daemon.registry.Replace(time.Now(), 1, []registry.Upstream{upstream})
	daemon.registry.SetEvacuated([]ident.Zone{"a"})
	if err := warmup.listEngine(context.Background(), upstream); err != nil {
		t.Errorf("got error %v for an engine of an evacuated zone, want none", err)
	}
	daemon.registry.SetEvacuated(nil)
	// The call is answered by a closed connection: only that it is made counts.
	_ = warmup.listEngine(context.Background(), upstream)
	<-accepted
	if len(accepted) > 0 {
		t.Error("got two calls, want none while the zone was evacuated")
	}
}
