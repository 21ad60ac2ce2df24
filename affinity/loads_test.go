package affinity

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// TestReportsOfGoneUpstreamsAreDropped guards against memory that grows with each
// upstream that ever reported.
func TestReportsOfGoneUpstreamsAreDropped(t *testing.T) {
	const upstreams, perSecond = 1000, 10
	var loads Loads
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for n := range upstreams {
		loads.Add(Report{Upstream: ident.UpstreamID(fmt.Sprint("e", n)), SeenAt: start.Add(time.Duration(n) * time.Second / perSecond)})
	}
	if got, want := len(loads.reports), perSecond*int(LeavingLifetime/time.Second)+1; got > want {
		t.Errorf("got %d reports kept, want at most %d", got, want)
	}
}
