package peer

import (
	"testing"
	"time"
)

// TestLinkOfCallIsNotIdle guards against a call whose link is closed as idle between the time when
// the call gets the link and when it counts itself there: the call fails after it was sent, or
// opens a connection that nobody closes.
func TestLinkOfCallIsNotIdle(t *testing.T) {
	links := new(Links)
	link, err := links.link("peer:1")
	if err != nil {
		t.Fatal(err)
	}
	links.closeIdle(time.Now().Add(2 * idleTimeout))
	if got := links.links["peer:1"]; got != link {
		t.Errorf("got link %p after the close of idle ones, want %p of the call", got, link)
	}
	link.endCall(time.Now)
	links.closeIdle(time.Now().Add(2 * idleTimeout))
	if got := links.links["peer:1"]; got != nil {
		t.Errorf("got link %p after the call, want it closed as idle", got)
	}
}
