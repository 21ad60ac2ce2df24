package split_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

func TestOriginsAreBounded(t *testing.T) {
	var origins split.Origins
	for n := range 70_000 {
		origins.Add(start, split.Origin{Attempt: ident.AttemptID(fmt.Sprint("a", n)), Version: "v1", BeganAt: start})
	}
	if got, want := origins.Len(), 1<<16; got > want {
		t.Errorf("got %d origins, want at most %d", got, want)
	}
	later := start.Add(3 * time.Minute)
	origins.Add(later, split.Origin{Attempt: "last", Version: "v1", BeganAt: later})
	if got := origins.Len(); got != 1 {
		t.Errorf("got %d origins after all but one were too old, want 1", got)
	}
}

// TestAttemptWithTwoOriginsHasNone guards against a guess between two streams whose
// attempts have the same ID.
func TestAttemptWithTwoOriginsHasNone(t *testing.T) {
	var origins split.Origins
	for _, version := range []ident.SoftwareVersion{"v1", "v1", "v2", "v1"} {
		origins.Add(start, split.Origin{Attempt: "a1", Version: version, BeganAt: start})
	}
	if got, _ := origins.Get("a1"); got.Version != "" {
		t.Errorf("got version %s, want none", got.Version)
	}
}

func TestWaitEndsOnceTheOriginIsAdded(t *testing.T) {
	var origins split.Origins
	added, cancel := origins.Wait("a1")
	defer cancel()
	_, cancelOther := origins.Wait("a1")
	cancelOther()
	origins.Add(start, split.Origin{Attempt: "a1", Version: "v1", BeganAt: start})
	select {
	case <-added:
	default:
		t.Error("got no signal, want one once the origin is added")
	}
}
