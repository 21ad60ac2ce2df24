package http1_test

import (
	"io"
	"testing"
	"time"
)

// TestAwaitFindsResponseAfterItsTime guards against an upstream that counts as silent although its
// response had arrived: the router had no processor time until the wait was over.
func TestAwaitFindsResponseAfterItsTime(t *testing.T) {
	peer := startPeer(t)
	conn, peerConn := peer.open()
	defer conn.Discard()
	if _, err := io.WriteString(peerConn, emptyResponse); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if began, err := conn.Await(time.Now().Add(-time.Millisecond)); !began || err != nil {
		t.Errorf("got a response that has begun: %t, %v, want true for one that has arrived", began, err)
	}
}
