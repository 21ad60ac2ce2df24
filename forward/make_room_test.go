package forward

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestDialBelowTheBoundVisitsNoPools guards against a dial that visits all pools, under the lock
// that each request takes, although there are fewer connections than the bound.
func TestDialBelowTheBoundVisitsNoPools(t *testing.T) {
	connections := &Connections{Max: 2, Dial: func(context.Context, string, string) (net.Conn, error) {
		caller, accepted := net.Pipe()
		t.Cleanup(func() { caller.Close(); accepted.Close() })
		return caller, nil
	}}
	pool := connections.Pool(registry.Upstream{ID: "a"})
	connections.mu.Lock()
	defer connections.mu.Unlock()
	opened := make(chan error, 1)
	go func() {
		_, err := pool.Get(context.Background(), 0, time.Second)
		opened <- err
	}()
	select {
	case err := <-opened:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("got a dial that waits for the lock of all pools, want none")
	}
}

// TestOpenCountsAllPools guards against a count of open connections that drifts.
func TestOpenCountsAllPools(t *testing.T) {
	connections := &Connections{Max: 2, Dial: func(context.Context, string, string) (net.Conn, error) {
		caller, accepted := net.Pipe()
		t.Cleanup(func() { caller.Close(); accepted.Close() })
		return caller, nil
	}}
	for _, id := range []string{"a", "b"} {
		pool := connections.Pool(registry.Upstream{ID: ident.UpstreamID(id)})
		for range 2 {
			conn, err := pool.Get(t.Context(), 0, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Discard()
			discarded, err := pool.Get(t.Context(), 0, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			discarded.Discard()
		}
	}
	if got := connections.Open(); got != 4 {
		t.Errorf("got %d open connections, want 4", got)
	}
}
