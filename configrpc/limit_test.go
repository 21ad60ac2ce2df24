package configrpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/configrpc"
)

// maxGrowth is by how much the memory that was allocated in all may grow while another
// router sends without end.
const maxGrowth = 160 << 20

// endlessGob begins a message of net/rpc that announces nearly a gigabyte.
func endlessGob() []byte {
	length := make([]byte, 5)
	length[0] = 0xfc
	binary.BigEndian.PutUint32(length[1:], 1<<30-1)
	return length
}

// flood writes to a connection until that fails or the time is over.
type flood struct {
	listener net.Listener
}

func (flood *flood) run() {
	conn, err := flood.listener.Accept()
	if err != nil {
		return
	}
	floodConn(conn)
}

// floodConn writes a message without end, and returns how long that lasted.
func floodConn(conn net.Conn) time.Duration {
	began := time.Now()
	defer conn.Close()
	if conn.SetWriteDeadline(began.Add(5*time.Second)) != nil {
		return 0
	}
	if _, err := conn.Write(endlessGob()); err != nil {
		return time.Since(began)
	}
	for block := bytes.Repeat([]byte{1}, 1<<16); ; {
		if _, err := conn.Write(block); err != nil {
			return time.Since(began)
		}
	}
}

// allocated returns the bytes that were allocated in all.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestRouterThatSendsWithoutEnd guards against a router that runs out of memory because
// another one answers a request for the configuration without end.
func TestRouterThatSendsWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	flood := &flood{listener: listener}
	go flood.run()
	before := allocated()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if row, err := configrpc.Fetch(ctx, listener.Addr().String(), 0); err == nil {
		t.Errorf("got a row of %d bytes, want an error", len(row.Value))
	}
	if ctx.Err() != nil {
		t.Error("got no end of the call before its context, want one at the bound")
	}
	if grown := allocated() - before; grown > maxGrowth {
		t.Errorf("got %d MiB allocated, want at most %d", grown>>20, maxGrowth>>20)
	}
}

// TestCallerThatSendsWithoutEnd guards against the same from a caller of the server.
func TestCallerThatSendsWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := &serverRun{server: configrpc.Server{Service: new(configrpc.Service), Listener: listener}}
	go server.run()
	before := allocated()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if got, most := floodConn(conn), time.Second; got > most {
		t.Errorf("got a connection that takes bytes for %v, want it closed within %v", got, most)
	}
	if grown := allocated() - before; grown > maxGrowth {
		t.Errorf("got %d MiB allocated, want at most %d", grown>>20, maxGrowth>>20)
	}
}

// serverRun runs a server until its listener is closed.
type serverRun struct {
	server configrpc.Server
}

func (serverRun *serverRun) run() { _ = serverRun.server.Run() }
