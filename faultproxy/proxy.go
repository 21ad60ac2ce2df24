package faultproxy

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// State is the fault that a proxy applies to its connections.
type State struct {
	// Delay is added to each piece of data that is forwarded.
	Delay time.Duration
	// HoldAll holds back the data of both directions, and HoldReplies only that
	// from the target.
	HoldAll     bool
	HoldReplies bool
}

// Proxy forwards TCP connections to a target and injects faults into them.
type Proxy struct {
	target string

	mu sync.Mutex
	// listener is nil while the proxy refuses connections. reserved is a socket that
	// keeps its port meanwhile.
	listener net.Listener
	listenAt string
	reserved int
	state    State
	// silences counts the calls of Silence.
	silences int
	conns    map[net.Conn]struct{}
}

// Start starts a proxy on a free port of loopback. It forwards to target, which is IP:port.
func Start(target string) (*Proxy, error) {
	listener, err := listenShared("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	reserved, err := reservePort(listener.Addr().(*net.TCPAddr).Port)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	proxy := &Proxy{target: target, listener: listener, listenAt: listener.Addr().String(), reserved: reserved, conns: make(map[net.Conn]struct{})}
	acceptor := &acceptor{proxy: proxy, listener: listener}
	go acceptor.run()
	return proxy, nil
}

// Address returns where the proxy listens, as IP:port.
func (proxy *Proxy) Address() string { return proxy.listenAt }

// Refuse refuses connections, as the address of a process that has ended does.
func (proxy *Proxy) Refuse() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.listener != nil {
		_ = proxy.listener.Close()
		proxy.listener = nil
	}
}

// Accept accepts connections again after Refuse.
func (proxy *Proxy) Accept() error {
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
	proxy    *Proxy
	listener net.Listener
}

func (acceptor *acceptor) run() {
	for {
		client, err := acceptor.listener.Accept()
		if err != nil {
			return
		}
		link := &link{proxy: acceptor.proxy, client: client, silences: acceptor.proxy.silenceCount()}
		go link.run()
	}
}

// Set replaces the state. It also applies to open connections.
func (proxy *Proxy) Set(state State) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
}

func (proxy *Proxy) currentState() State {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.state
}

// Silence lets the open connections stay open and deliver nothing more, in either
// direction. New connections work.
func (proxy *Proxy) Silence() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.silences++
}

// silenceCount returns how often Silence was called.
func (proxy *Proxy) silenceCount() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.silences
}

// Open returns the number of open connections to the proxy.
func (proxy *Proxy) Open() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return len(proxy.conns) / 2
}

// Reset closes all open connections with a TCP reset.
func (proxy *Proxy) Reset() {
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

// Close refuses connections, resets the open ones and releases the port.
func (proxy *Proxy) Close() {
	proxy.Refuse()
	proxy.Reset()
	// The port is free from now on, whatever Close returns.
	_ = syscall.Close(proxy.reserved)
}

// track adds conn to the open connections, or removes it.
func (proxy *Proxy) track(conn net.Conn, open bool) {
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
	proxy  *Proxy
	client net.Conn
	// silences is how often the proxy had been silenced when the connection was opened.
	silences int
}

// silent reports whether the connection delivers nothing more.
func (link *link) silent() bool { return link.proxy.silenceCount() != link.silences }

func (link *link) run() {
	target, err := net.Dial("tcp", link.proxy.target)
	if err != nil {
		resetConn(link.client)
		return
	}
	for _, conn := range []net.Conn{link.client, target} {
		link.proxy.track(conn, true)
	}
	replies := &copier{link: link, from: target, to: link.client, fromTarget: true, done: make(chan struct{})}
	go replies.run()
	requests := &copier{link: link, from: link.client, to: target, done: make(chan struct{})}
	requests.run()
	<-replies.done
	for _, conn := range []net.Conn{link.client, target} {
		link.proxy.track(conn, false)
		_ = conn.Close()
	}
}

// copier forwards one direction of a connection.
type copier struct {
	link       *link
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
		}
		if copier.link.silent() {
			if err != nil {
				copier.endSilently()
				return
			}
			continue
		}
		if count > 0 {
			if _, err := copier.to.Write(buffer[:count]); err != nil {
				resetConn(copier.from)
				return
			}
		}
		if err != nil {
			// Pass the end on in the same way: an orderly close or a reset.
			if tcp, ok := copier.to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = tcp.CloseWrite()
			} else {
				resetConn(copier.to)
			}
			return
		}
	}
}

// endSilently ends the connection to the target once the client's has ended, and hides
// the end of the target's connection from the client.
func (copier *copier) endSilently() {
	if !copier.fromTarget {
		resetConn(copier.to)
	}
}

// delay waits while data is held back, and then for the delay of the state.
func (copier *copier) delay() {
	for {
		state := copier.link.proxy.currentState()
		if !state.HoldAll && !(state.HoldReplies && copier.fromTarget) {
			time.Sleep(state.Delay)
			return
		}
		time.Sleep(holdPollInterval)
	}
}
