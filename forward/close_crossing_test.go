package forward_test

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"
)

// interruptedConn is a connection whose reader is paused after the first read that fails: it
// reports that on failed, and continues on a receive from resume.
type interruptedConn struct {
	*net.TCPConn
	failed, resume chan struct{}
	paused         sync.Once
}

func (interruptedConn *interruptedConn) Read(buffer []byte) (int, error) {
	count, err := interruptedConn.TCPConn.Read(buffer)
	if err != nil {
		interruptedConn.paused.Do(func() {
			interruptedConn.failed <- struct{}{}
			<-interruptedConn.resume
		})
	}
	return count, err
}

// TestRequestThatCrossesAnIdleCloseIsAnswered guards against a request that is dropped because it
// arrives after its connection was to be closed as idle, but before the goroutine of the
// connection runs and closes it.
func TestRequestThatCrossesAnIdleCloseIsAnswered(t *testing.T) {
	interrupted := &interruptedConn{failed: make(chan struct{}), resume: make(chan struct{})}
	idleConns := startIdleConns(t, func(conn net.Conn) net.Conn {
		interrupted.TCPConn = conn.(*net.TCPConn)
		return interrupted
	})
	conn := idleConns.dial(t)
	time.Sleep(10 * time.Millisecond)
	idleConns.conns.CloseUnused(time.Now().Add(time.Second))
	<-interrupted.failed
	if !answered(t, conn, bufio.NewReader(conn), func() { interrupted.resume <- struct{}{} }) {
		t.Error("got no answer to a request that arrived before its connection was closed, want one")
	}
}
