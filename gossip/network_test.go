package gossip_test

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// helloStart and summaryStart are the first bytes of datagrams that the program before
// groups doesn't know.
const (
	helloStart   = 0x97
	summaryStart = 0x9e
	// evacuationStart is that of datagrams on evacuations.
	evacuationStart = 0x95
)

// network delivers the datagrams of a simulated fleet at once, unless they are lost.
type network struct {
	mu    sync.Mutex
	conns map[string]*simConn
	// random decides which datagrams are lost: lossOf in a thousand.
	random *rand.Rand
	lossOf int
	// cut holds the routers that are cut off, and earlier those whose program knows
	// neither hellos nor summaries.
	cut     map[string]bool
	earlier map[string]bool
	// recorder, unless nil, keeps datagrams.
	recorder *recorder
	// evacuationCount counts the datagrams on evacuations.
	evacuationCount int
}

// simConn is the socket of a router in a network.
type simConn struct {
	network  *network
	address  *net.UDPAddr
	incoming chan []byte
	closed   chan struct{}

	mu   sync.Mutex
	sent int
}

func newNetwork(seed uint64) *network {
	return &network{conns: make(map[string]*simConn), cut: make(map[string]bool), earlier: make(map[string]bool), random: rand.New(rand.NewPCG(seed, 0))}
}

// addressOf returns the address of router n.
func addressOf(n int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(10, 0, byte(n/250), byte(1+n%250)), Port: 7340}
}

// listen returns the socket of router n.
func (network *network) listen(n int) *simConn {
	conn := &simConn{
		network:  network,
		address:  addressOf(n),
		incoming: make(chan []byte, 8192),
		closed:   make(chan struct{}),
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.conns[conn.address.String()] = conn
	return conn
}

// route returns the socket that gets a datagram, or nil if it is lost or one of the two
// runs an earlier program that doesn't know it.
func (network *network) route(datagram []byte, from, to string) *simConn {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.recorder != nil {
		network.recorder.record(datagram, to)
	}
	if datagram[0] == evacuationStart {
		network.evacuationCount++
	}
	if (network.earlier[from] || network.earlier[to]) && (datagram[0] == helloStart || datagram[0] == summaryStart) {
		return nil
	}
	if network.cut[from] || network.cut[to] || network.random.IntN(1000) < network.lossOf {
		return nil
	}
	return network.conns[to]
}

// WriteTo sends a datagram.
func (conn *simConn) WriteTo(datagram []byte, address net.Addr) (int, error) {
	conn.mu.Lock()
	conn.sent += len(datagram)
	conn.mu.Unlock()
	receiver := conn.network.route(datagram, conn.address.String(), address.String())
	if receiver == nil {
		return len(datagram), nil
	}
	select {
	case receiver.incoming <- slices.Clone(datagram):
	default:
	}
	return len(datagram), nil
}

// ReadFrom returns the next datagram.
func (conn *simConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case datagram := <-conn.incoming:
		return copy(buffer, datagram), conn.address, nil
	case <-conn.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close ends the socket.
func (conn *simConn) Close() error {
	close(conn.closed)
	return nil
}

// bytes returns how many bytes were sent.
func (conn *simConn) bytes() int {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.sent
}

func (conn *simConn) LocalAddr() net.Addr              { return conn.address }
func (conn *simConn) SetDeadline(time.Time) error      { return nil }
func (conn *simConn) SetReadDeadline(time.Time) error  { return nil }
func (conn *simConn) SetWriteDeadline(time.Time) error { return nil }

// recorder keeps some of the datagrams of a network.
type recorder struct {
	datagrams []recordedDatagram
	seen      int
}

// recordedDatagram is a datagram with the address that it was sent to.
type recordedDatagram struct {
	to       string
	datagram []byte
}

// recordEvery is of how many datagrams one is kept.
const recordEvery = 97

func (recorder *recorder) record(datagram []byte, to string) {
	recorder.seen++
	if recorder.seen%recordEvery == 0 {
		recorder.datagrams = append(recorder.datagrams, recordedDatagram{to: to, datagram: slices.Clone(datagram)})
	}
}

// evacuations returns how many datagrams on evacuations were sent.
func (network *network) evacuations() int {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.evacuationCount
}

// setCut cuts a router off, or ends that.
func (network *network) setCut(address string, cut bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.cut[address] = cut
}

// setRecorder has datagrams recorded, or with nil no longer.
func (network *network) setRecorder(recorder *recorder) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.recorder = recorder
}

// conn returns the socket of router n.
func (network *network) conn(n int) *simConn {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.conns[addressOf(n).String()]
}

// setLoss sets how many of a thousand datagrams are lost.
func (network *network) setLoss(lossOf int) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.lossOf = lossOf
}
