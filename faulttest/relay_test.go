package faulttest_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on to a target and cuts one where it is told to.
type relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// left is the number of bytes that still come back before the cut;
	// negative means no cut.
	left int
	cuts int
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{listener: listener, target: target, left: -1}
	t.Cleanup(func() { listener.Close() })
	go relay.run()
	return relay
}

func (relay *relay) address() string { return relay.listener.Addr().String() }

// cutAfter cuts the connection over which byte number count+1 would come back.
func (relay *relay) cutAfter(count int) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.left = count
}

// taken returns the number of cuts so far.
func (relay *relay) taken() int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.cuts
}

func (relay *relay) run() {
	for {
		near, err := relay.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", relay.target)
		if err != nil {
			near.Close()
			continue
		}
		go (&copier{from: near, to: far}).run()
		go (&copier{from: far, to: near, relay: relay}).run()
	}
}

// allow returns how many of count bytes may pass, and whether the connection is
// cut after them.
func (relay *relay) allow(count int) (int, bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.left < 0 {
		return count, false
	}
	if count <= relay.left {
		relay.left -= count
		return count, false
	}
	allowed := relay.left
	relay.left = -1
	relay.cuts++
	return allowed, true
}

// copier copies one direction of a connection. Where relay is set it may cut.
type copier struct {
	from  net.Conn
	to    net.Conn
	relay *relay
}

func (copier *copier) run() {
	defer copier.from.Close()
	defer copier.to.Close()
	if copier.relay == nil {
		_, _ = io.Copy(copier.to, copier.from)
		return
	}
	buffer := make([]byte, 4096)
	for {
		count, err := copier.from.Read(buffer)
		if err != nil {
			return
		}
		allowed, cut := copier.relay.allow(count)
		if _, err := copier.to.Write(buffer[:allowed]); err != nil || cut {
			return
		}
	}
}
