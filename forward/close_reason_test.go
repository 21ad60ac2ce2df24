package forward_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// closeCounter is a listener's connection with the reasons for which it was closed, or kept.
type closeCounter struct {
	conns  forward.CallerConns
	caller net.Conn
	conn   net.Conn
	closed []forward.CloseReason
	kept   []forward.KeepReason
}

// newCloseCounter accepts a connection, as wrap returns it, in a state.
func newCloseCounter(t *testing.T, wrap func(net.Conn) net.Conn, state http.ConnState) *closeCounter {
	t.Helper()
	counter := new(closeCounter)
	listener := &forward.Listener{
		Listener: &wrappingListener{Listener: listen(t), wrap: wrap},
		OnClose:  func(reason forward.CloseReason) { counter.closed = append(counter.closed, reason) },
		OnKeep:   func(reason forward.KeepReason) { counter.kept = append(counter.kept, reason) },
	}
	counter.caller, counter.conn = connect(t, listener)
	counter.conns.Track(counter.conn, state)
	return counter
}

func (counter *closeCounter) check(t *testing.T, closed []forward.CloseReason, kept []forward.KeepReason) {
	t.Helper()
	if !slices.Equal(counter.closed, closed) || !slices.Equal(counter.kept, kept) {
		t.Errorf("got connections closed as %v and kept as %v, want %v and %v", counter.closed, counter.kept, closed, kept)
	}
}

// TestClosesOfTheRouterAreCounted guards against a connection that the router closes, or keeps open
// because bytes have arrived, without a count of the reason, or with two.
func TestClosesOfTheRouterAreCounted(t *testing.T) {
	later := func() time.Time { return time.Now().Add(time.Second) }
	halfRead := func(t *testing.T, counter *closeCounter) {
		write(counter.caller, "GET ")
		if _, err := io.ReadFull(counter.conn, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name   string
		state  http.ConnState
		act    func(t *testing.T, counter *closeCounter)
		closed []forward.CloseReason
		kept   []forward.KeepReason
	}{
		{"idle", http.StateIdle, func(_ *testing.T, counter *closeCounter) {
			counter.conns.CloseIdle(later())
			counter.conns.CloseIdle(later())
		}, []forward.CloseReason{forward.CloseIdle}, nil},
		{"unused", http.StateNew, func(_ *testing.T, counter *closeCounter) { counter.conns.CloseUnused(later()) }, []forward.CloseReason{forward.CloseUnused}, nil},
		{"half read", http.StateIdle, func(t *testing.T, counter *closeCounter) {
			halfRead(t, counter)
			counter.conns.CloseHalfRead(later())
		}, []forward.CloseReason{forward.CloseHalfRead}, nil},
		{"idle at the bound", http.StateIdle, func(_ *testing.T, counter *closeCounter) {
			counter.conns.Max = 1
			counter.conns.Track(new(closingConn), http.StateNew)
		}, []forward.CloseReason{"bound-idle"}, nil},
		{"head at the bound", http.StateIdle, func(t *testing.T, counter *closeCounter) {
			halfRead(t, counter)
			time.Sleep(1100 * time.Millisecond)
			counter.conns.Max = 1
			counter.conns.Track(new(closingConn), http.StateNew)
		}, []forward.CloseReason{"bound-head"}, nil},
		{"new at the bound", http.StateActive, func(t *testing.T, counter *closeCounter) {
			counter.conns.Track(counter.conn, http.StateClosed)
			counter.conns.Track(new(closingConn), http.StateActive)
			counter.conns.Max = 1
			counter.conns.Track(counter.conn, http.StateNew)
		}, []forward.CloseReason{"bound-new"}, nil},
		{"bytes wait", http.StateIdle, func(_ *testing.T, counter *closeCounter) {
			write(counter.caller, "GET ")
			time.Sleep(50 * time.Millisecond)
			counter.conns.CloseIdle(later())
		}, nil, []forward.KeepReason{forward.KeptUnread}},
		{"nothing to close", http.StateActive, func(_ *testing.T, counter *closeCounter) { counter.conns.CloseIdle(later()) }, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counter := newCloseCounter(t, nil, test.state)
			test.act(t, counter)
			counter.check(t, test.closed, test.kept)
		})
	}
}

// TestCloseDuringAReadIsCountedOnce guards against a close that is counted although the read that
// it ends has brought bytes, and against one that is not counted as it waits for the read.
func TestCloseDuringAReadIsCountedOnce(t *testing.T) {
	for _, sends := range []bool{true, false} {
		t.Run(fmt.Sprintf("bytes come: %t", sends), func(t *testing.T) {
			paused := &pausedConn{read: make(chan struct{}), resume: make(chan struct{})}
			counter := newCloseCounter(t, func(conn net.Conn) net.Conn {
				paused.Conn = conn
				return paused
			}, http.StateIdle)
			ended := make(chan error)
			go func() {
				_, err := counter.conn.Read(make([]byte, 64))
				ended <- err
			}()
			if sends {
				write(counter.caller, "GET ")
				<-paused.read
			} else {
				time.Sleep(50 * time.Millisecond)
			}
			counter.conns.CloseIdle(time.Now().Add(time.Second))
			if sends {
				paused.resume <- struct{}{}
			}
			err := <-ended
			if sends && err != nil || !sends && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got a read that ended with %v, want an error only without bytes", err)
			}
			counter.conns.CloseIdle(time.Now().Add(time.Second))
			if sends {
				counter.check(t, nil, []forward.KeepReason{forward.KeptRead})
			} else {
				counter.check(t, []forward.CloseReason{forward.CloseIdle}, nil)
			}
		})
	}
}
