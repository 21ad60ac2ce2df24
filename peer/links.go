package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/metrics"
)

const (
	// idleTimeout is how long a link is kept without a call. A new link costs a
	// handshake and sends the gob types again, so the timeout is long.
	idleTimeout = 5 * time.Minute
	// idleCheckInterval is the time between two checks for idle links.
	idleCheckInterval = 30 * time.Second
	// noResponseTimeout is how long a link may go without a reply. A call that
	// reaches its deadline after that closes the link.
	noResponseTimeout = 3 * time.Second
	// dialTimeout bounds the opening of a link, including the handshake.
	dialTimeout = 3 * time.Second
	// initialRedialBackoff and maxRedialBackoff bound the time between two
	// dials of an address.
	initialRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff     = 15 * time.Second
)

// Events that the links count.
const (
	eventDialed     = "peer.link.dialed"
	eventDialFailed = "peer.link.failed"
	eventIdle       = "peer.link.idle"
	eventNoResponse = "peer.link.silent"
)

// ErrUnreachable means that the peer could not be reached, or that the link
// broke or the call ended before the reply. The method may have run. Test with
// errors.Is.
var ErrUnreachable = errors.New("peer unreachable")

// Links keeps one long-lived net/rpc connection to each address that is called.
// Its methods may be called concurrently.
type Links struct {
	Identity *Identity
	// Traffic counts the bytes of all links; nil counts none.
	Traffic *metrics.Traffic
	Metrics *metrics.Set
	// Dial opens a TCP connection; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// link is the connection to one address.
type link struct {
	// dialing is a semaphore of one that is held while a goroutine dials.
	dialing chan struct{}

	mu          sync.Mutex
	client      *rpc.Client
	redialAt    time.Time
	backoff     *backoff.ExponentialBackOff
	usedAt      time.Time
	lastReplyAt time.Time
	calls       int
}

// Call runs method at address and returns no later than the deadline of ctx.
// After an error reply must not be read, since it may still be written to. While
// an address is in its redial backoff, Call fails at once with ErrUnreachable.
func (links *Links) Call(ctx context.Context, address, method string, args, reply any) error {
	link, err := links.link(address)
	if err != nil {
		return err
	}
	defer link.endCall(time.Now)
	client, err := links.connect(ctx, link, address)
	if err != nil {
		return err
	}
	err = links.exchange(ctx, link, client, method, args, reply)
	if !errors.Is(err, rpc.ErrShutdown) {
		return err
	}
	// The link was already broken, so the call was not sent and may be repeated.
	link.drop(client)
	if client, err = links.connect(ctx, link, address); err != nil {
		return err
	}
	return links.exchange(ctx, link, client, method, args, reply)
}

// Open returns the number of open links.
func (links *Links) Open() int {
	links.mu.Lock()
	defer links.mu.Unlock()
	open := 0
	for _, link := range links.links {
		if link.currentClient() != nil {
			open++
		}
	}
	return open
}

// Run closes idle links until ctx ends. It then closes all links, and later
// calls fail.
func (links *Links) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			links.closeAll()
			return
		case now := <-ticker.C:
			links.closeIdle(now)
		}
	}
}

// link returns the link to address, on which a call has begun: from then on it is not closed as
// idle.
func (links *Links) link(address string) (*link, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.closed {
		return nil, errors.Wrap(ErrUnreachable, "links are closed")
	}
	if links.links == nil {
		links.links = make(map[string]*link)
	}
	found := links.links[address]
	if found == nil {
		found = &link{dialing: make(chan struct{}, 1)}
		links.links[address] = found
	}
	found.beginCall(time.Now())
	return found, nil
}

func (links *Links) connect(ctx context.Context, link *link, address string) (*rpc.Client, error) {
	if client := link.currentClient(); client != nil {
		return client, nil
	}
	select {
	case link.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "wait for link to %s", address), ErrUnreachable)
	}
	defer link.unlockDial()
	if client := link.currentClient(); client != nil {
		return client, nil
	}
	if !link.canDial(time.Now()) {
		return nil, errors.Wrapf(ErrUnreachable, "%s is in redial backoff", address)
	}
	client, err := links.dial(ctx, address)
	if err != nil {
		link.recordFailure(time.Now())
		links.Metrics.CountEvent(eventDialFailed)
		return nil, errors.Mark(errors.Wrapf(err, "link to %s", address), ErrUnreachable)
	}
	links.Metrics.CountEvent(eventDialed)
	return links.adoptClient(link, client)
}

// adoptClient makes client the link's connection, or closes it if the links
// have been closed in the meantime.
func (links *Links) adoptClient(link *link, client *rpc.Client) (*rpc.Client, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.closed {
		client.Close()
		return nil, errors.Wrap(ErrUnreachable, "links are closed")
	}
	link.setClient(client, time.Now())
	return client, nil
}

func (links *Links) dial(ctx context.Context, address string) (*rpc.Client, error) {
	if links.Identity == nil {
		return nil, ErrUnauthenticated
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := links.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(&boundedConn{Conn: countTraffic(links.Traffic, conn)}, links.Identity.config())
	if err := handshake(ctx, secured); err != nil {
		conn.Close()
		return nil, err
	}
	return rpc.NewClient(secured), nil
}

func (links *Links) exchange(ctx context.Context, link *link, client *rpc.Client, method string, args, reply any) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return links.callResult(link, client, call.Error)
	case <-ctx.Done():
	}
	if link.unresponsive(time.Now()) {
		links.Metrics.CountEvent(eventNoResponse)
		link.drop(client)
		link.recordFailure(time.Now())
	}
	return errors.Mark(errors.Wrapf(ctx.Err(), "call %s", method), ErrUnreachable)
}

func (links *Links) callResult(link *link, client *rpc.Client, err error) error {
	var serverError rpc.ServerError
	switch {
	case err == nil, errors.As(err, &serverError):
		link.recordReply(time.Now())
		return err
	case errors.Is(err, rpc.ErrShutdown):
		return err
	}
	link.drop(client)
	return errors.Mark(errors.Wrap(err, "link broke"), ErrUnreachable)
}

func (links *Links) closeIdle(now time.Time) {
	links.mu.Lock()
	defer links.mu.Unlock()
	for address, link := range links.links {
		if !link.idle(now) {
			continue
		}
		if client := link.currentClient(); client != nil {
			link.drop(client)
			links.Metrics.CountEvent(eventIdle)
		}
		delete(links.links, address)
	}
}

func (links *Links) closeAll() {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.closed = true
	for _, link := range links.links {
		if client := link.currentClient(); client != nil {
			link.drop(client)
		}
	}
}

func (link *link) unlockDial() { <-link.dialing }

func (link *link) currentClient() *rpc.Client {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.client
}

func (link *link) canDial(now time.Time) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return !now.Before(link.redialAt)
}

func (link *link) recordFailure(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.backoff == nil {
		link.backoff = backoff.NewExponentialBackOff()
		link.backoff.InitialInterval = initialRedialBackoff
		link.backoff.MaxInterval = maxRedialBackoff
	}
	link.redialAt = now.Add(link.backoff.NextBackOff())
}

func (link *link) setClient(client *rpc.Client, now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.client = client
	link.backoff = nil
	link.redialAt = time.Time{}
	link.lastReplyAt = now
}

func (link *link) drop(client *rpc.Client) {
	link.mu.Lock()
	defer link.mu.Unlock()
	client.Close()
	if link.client == client {
		link.client = nil
	}
}

func (link *link) recordReply(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.lastReplyAt = now
}

func (link *link) unresponsive(now time.Time) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return now.Sub(link.lastReplyAt) >= noResponseTimeout
}

func (link *link) beginCall(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.calls++
	link.usedAt = now
}

func (link *link) endCall(now func() time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.calls--
	link.usedAt = now()
}

func (link *link) idle(now time.Time) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.calls == 0 && now.Sub(link.usedAt) >= idleTimeout
}
