package faulttest_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a target and breaks them after a given
// number of bytes.
type relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// remaining is the number of bytes from the target, over all connections,
	// that still pass before a connection is broken; negative means no limit.
	remaining int
	// breaks counts the broken connections.
	breaks int
	// bytesPerConnection is the number of bytes from the target after which
	// every connection is broken; zero means no limit.
	bytesPerConnection int
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{listener: listener, target: target, remaining: -1}
	t.Cleanup(func() { listener.Close() })
	go relay.run()
	return relay
}

func (relay *relay) address() string { return relay.listener.Addr().String() }

// breakAfter lets count more bytes from the target pass and breaks the connection
// on which the next byte arrives.
func (relay *relay) breakAfter(count int) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.remaining = count
}

// breakCount returns the number of connections that were broken so server.
func (relay *relay) breakCount() int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	return relay.breaks
}

func (relay *relay) run() {
	for {
		client, err := relay.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", relay.target)
		if err != nil {
			client.Close()
			continue
		}
		go (&copier{from: client, to: server}).run()
		go (&copier{from: server, to: client, relay: relay}).run()
	}
}

// allow returns how many of count bytes from the target may pass, and whether the
// connection is to be broken after them. passed is the number of bytes that have
// already passed on the connection.
func (relay *relay) allow(passed, count int) (int, bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.bytesPerConnection > 0 && passed+count > relay.bytesPerConnection {
		relay.breaks++
		return relay.bytesPerConnection - passed, true
	}
	if relay.remaining < 0 {
		return count, false
	}
	if count <= relay.remaining {
		relay.remaining -= count
		return count, false
	}
	allowed := relay.remaining
	relay.remaining = -1
	relay.breaks++
	return allowed, true
}

// copier copies one direction of a connection. If relay is set, the relay may
// break the connection.
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
	passed := 0
	for {
		count, err := copier.from.Read(buffer)
		if err != nil {
			return
		}
		allowed, broken := copier.relay.allow(passed, count)
		passed += allowed
		if _, err := copier.to.Write(buffer[:allowed]); err != nil || broken {
			return
		}
	}
}
