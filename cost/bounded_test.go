package cost

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestMemoryIsBounded guards against growth with the number of upstreams, services, routes
// or workspaces, which callers and configurations determine.
func TestMemoryIsBounded(t *testing.T) {
	var model Model
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 3 * maxUpstreams {
		name := fmt.Sprint(i)
		upstream := registry.Upstream{ID: ident.UpstreamID(name), Service: ident.ServiceName(name)}
		model.ObserveFirstEvent(now, upstream, Work{Prefill: 100}, 10*time.Millisecond)
		model.ObserveOutput(now, Request{Route: ident.RouteName(name), Workspace: ident.WorkspaceID(name), Hint: ident.Tokens(i)}, 10)
		model.ObservePlain(now, ident.RouteName(name), time.Millisecond)
	}
	sizes := []struct {
		name      string
		got, most int
	}{
		{"services", model.services.Len(), maxServices},
		{"upstreams", model.upstreams.Len(), maxUpstreams},
		{"lengths", model.lengths.Len(), maxLengths},
		{"outputs", model.outputs.Len(), maxRoutes},
		{"plain", model.plain.Len(), maxRoutes},
	}
	for _, size := range sizes {
		if size.got > size.most {
			t.Errorf("%s: got %d entries, want at most %d", size.name, size.got, size.most)
		}
	}
}
