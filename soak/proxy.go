package soak

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// linkState is the fault that a proxy applies to its connections.
type linkState struct {
	// delay is added to each piece of data that is forwarded.
	delay time.Duration
	// holdAll holds back the data of both directions, and holdReplies only that
	// from the target.
	holdAll     bool
	holdReplies bool
}

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	target string

	mu sync.Mutex
	// listener is nil while the proxy refuses connections. reserved is a socket that
	// keeps its port meanwhile.
	listener net.Listener
	listenAt string
	reserved int
	state    linkState
	conns    map[net.Conn]struct{}
}

func startProxy(target string) (*proxy, error) {
	listener, err := listenShared("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	reserved, err := reservePort(listener.Addr().(*net.TCPAddr).Port)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	proxy := &proxy{target: target, listener: listener, listenAt: listener.Addr().String(), reserved: reserved, conns: make(map[net.Conn]struct{})}
	acceptor := &acceptor{proxy: proxy, listener: listener}
	go acceptor.run()
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listenAt }

// refuse refuses connections, as the address of a process that has ended does.
func (proxy *proxy) refuse() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.listener != nil {
		_ = proxy.listener.Close()
		proxy.listener = nil
	}
}

// accept accepts connections again after refuse.
func (proxy *proxy) accept() error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.listener != nil {
		return nil
	}
	listener, err := listenShared(proxy.listenAt)
	if err != nil {
		return err
	}
	proxy.listener = listener
	acceptor := &acceptor{proxy: proxy, listener: listener}
	go acceptor.run()
	return nil
}

// acceptor accepts the connections of a proxy until its listener is closed.
type acceptor struct {
	proxy    *proxy
	listener net.Listener
}

func (acceptor *acceptor) run() {
	for {
		client, err := acceptor.listener.Accept()
		if err != nil {
			return
		}
		link := &link{proxy: acceptor.proxy, client: client}
		go link.run()
	}
}

// set replaces the state. It also applies to open connections.
func (proxy *proxy) set(state linkState) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
}

func (proxy *proxy) currentState() linkState {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.state
}

// reset closes all open connections with a TCP reset.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		resetConn(conn)
	}
}

// resetConn closes conn with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With linger 0, Close sends a reset. If setting it fails, conn is
		// closed normally.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) close() {
	proxy.refuse()
	proxy.reset()
	// The port is free from now on, whatever Close returns.
	_ = syscall.Close(proxy.reserved)
}

// track adds conn to the open connections, or removes it.
func (proxy *proxy) track(conn net.Conn, open bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if open {
		proxy.conns[conn] = struct{}{}
		return
	}
	delete(proxy.conns, conn)
}

// link is one connection through a proxy.
type link struct {
	proxy  *proxy
	client net.Conn
}

func (link *link) run() {
	target, err := net.Dial("tcp", link.proxy.target)
	if err != nil {
		resetConn(link.client)
		return
	}
	for _, conn := range []net.Conn{link.client, target} {
		link.proxy.track(conn, true)
	}
	replies := &copier{proxy: link.proxy, from: target, to: link.client, fromTarget: true, done: make(chan struct{})}
	go replies.run()
	requests := &copier{proxy: link.proxy, from: link.client, to: target, done: make(chan struct{})}
	requests.run()
	<-replies.done
	for _, conn := range []net.Conn{link.client, target} {
		link.proxy.track(conn, false)
		_ = conn.Close()
	}
}

// copier forwards one direction of a connection.
type copier struct {
	proxy      *proxy
	from       net.Conn
	to         net.Conn
	fromTarget bool
	done       chan struct{}
}

// holdPollInterval is the time between two checks whether held data may pass.
const holdPollInterval = 20 * time.Millisecond

func (copier *copier) run() {
	defer close(copier.done)
	buffer := make([]byte, 16<<10)
	for {
		count, err := copier.from.Read(buffer)
		if count > 0 {
			copier.delay()
			if _, err := copier.to.Write(buffer[:count]); err != nil {
				resetConn(copier.from)
				return
			}
		}
		if err != nil {
			// Pass the end on in the same way: an orderly close or a reset.
			if tcp, ok := copier.to.(*net.TCPConn); ok && err.Error() == "EOF" {
				_ = tcp.CloseWrite()
			} else {
				resetConn(copier.to)
			}
			return
		}
	}
}

// delay waits while data is held back, and then for the delay of the state.
func (copier *copier) delay() {
	for {
		state := copier.proxy.currentState()
		if !state.holdAll && !(state.holdReplies && copier.fromTarget) {
			time.Sleep(state.delay)
			return
		}
		time.Sleep(holdPollInterval)
	}
}
