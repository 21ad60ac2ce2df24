package soak

import (
	"net"
	"sync"
	"time"
)

// linkState is what a proxy does to its connections.
type linkState struct {
	// delay is added to each piece of data.
	delay time.Duration
	// silent holds all data back, and halfSilent what comes from the target.
	silent     bool
	halfSilent bool
}

// proxy passes TCP connections on to a target, as its state allows.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]struct{}
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go proxy.run()
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) run() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		link := &link{proxy: proxy, near: near}
		go link.run()
	}
}

// set changes what the proxy does from now on.
func (proxy *proxy) set(state linkState) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
}

func (proxy *proxy) now() linkState {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.state
}

// reset breaks off all connections.
func (proxy *proxy) reset() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		breakOff(conn)
	}
}

// breakOff ends conn by a reset.
func breakOff(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without lingering the end is a reset; a failure leaves a plain end.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.reset()
}

func (proxy *proxy) keep(conn net.Conn, kept bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if kept {
		proxy.conns[conn] = struct{}{}
		return
	}
	delete(proxy.conns, conn)
}

// link is one connection through a proxy.
type link struct {
	proxy *proxy
	near  net.Conn
}

func (link *link) run() {
	far, err := net.Dial("tcp", link.proxy.target)
	if err != nil {
		breakOff(link.near)
		return
	}
	for _, conn := range []net.Conn{link.near, far} {
		link.proxy.keep(conn, true)
	}
	back := &copying{proxy: link.proxy, from: far, to: link.near, fromTarget: true, done: make(chan struct{})}
	go back.run()
	there := &copying{proxy: link.proxy, from: link.near, to: far, done: make(chan struct{})}
	there.run()
	<-back.done
	for _, conn := range []net.Conn{link.near, far} {
		link.proxy.keep(conn, false)
		_ = conn.Close()
	}
}

// copying passes one direction of a connection on.
type copying struct {
	proxy      *proxy
	from       net.Conn
	to         net.Conn
	fromTarget bool
	done       chan struct{}
}

// holdStep is the time between two looks at whether held data may pass.
const holdStep = 20 * time.Millisecond

func (copying *copying) run() {
	defer close(copying.done)
	buffer := make([]byte, 16<<10)
	for {
		count, err := copying.from.Read(buffer)
		if count > 0 {
			copying.hold()
			if _, err := copying.to.Write(buffer[:count]); err != nil {
				breakOff(copying.from)
				return
			}
		}
		if err != nil {
			// The end is passed on as it came: whole, or broken off.
			if tcp, ok := copying.to.(*net.TCPConn); ok && err.Error() == "EOF" {
				_ = tcp.CloseWrite()
			} else {
				breakOff(copying.to)
			}
			return
		}
	}
}

// hold waits as the state of the proxy asks for.
func (copying *copying) hold() {
	for {
		state := copying.proxy.now()
		if !state.silent && !(state.halfSilent && copying.fromTarget) {
			time.Sleep(state.delay)
			return
		}
		time.Sleep(holdStep)
	}
}
