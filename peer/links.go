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
	// idleTimeout closes a link that nobody has used. A new link costs a
	// handshake and the gob types again, so links are kept for long.
	idleTimeout = 5 * time.Minute
	// idleCheck is the time between two looks for idle links.
	idleCheck = 30 * time.Second
	// silenceLimit closes a link on which a call reached its deadline while
	// nothing has arrived for this long.
	silenceLimit = 3 * time.Second
	// dialTimeout bounds the opening of a link with its handshake.
	dialTimeout = 3 * time.Second
	// firstRedial and lastRedial bound the time between two dials of an address.
	firstRedial = 100 * time.Millisecond
	lastRedial  = 15 * time.Second
)

// Events that the links count.
const (
	eventDialed     = "peer.link.dialed"
	eventDialFailed = "peer.link.failed"
	eventIdle       = "peer.link.idle"
	eventSilent     = "peer.link.silent"
)

// ErrUnreachable means that the peer could not be reached or that the link
// broke before the reply. The method may have run. Test with errors.Is.
var ErrUnreachable = errors.New("peer unreachable")

// Links keeps one long-lived net/rpc connection for each address that is
// called. Its methods may be called concurrently.
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
	// dialing holds a token while somebody dials.
	dialing chan struct{}

	mu       sync.Mutex
	client   *rpc.Client
	redialAt time.Time
	backoff  *backoff.ExponentialBackOff
	usedAt   time.Time
	heardAt  time.Time
	calls    int
}

// Call runs method at address. It returns at the deadline of ctx at the latest,
// and its reply must not be read after an error, since it may still arrive. An
// address that failed lately is refused at once with ErrUnreachable.
func (links *Links) Call(ctx context.Context, address, method string, args, reply any) error {
	link, err := links.link(address)
	if err != nil {
		return err
	}
	link.begin(time.Now())
	defer link.end(time.Now)
	client, err := links.connect(ctx, link, address)
	if err != nil {
		return err
	}
	err = links.exchange(ctx, link, client, method, args, reply)
	if !errors.Is(err, rpc.ErrShutdown) {
		return err
	}
	// The link had broken before anything was sent on it.
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
		if link.present() != nil {
			open++
		}
	}
	return open
}

// Run closes idle links until ctx ends, and then closes all of them for good.
func (links *Links) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
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

func (links *Links) link(address string) (*link, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.closed {
		return nil, errors.Wrap(ErrUnreachable, "links are closed")
	}
	if found := links.links[address]; found != nil {
		return found, nil
	}
	if links.links == nil {
		links.links = make(map[string]*link)
	}
	created := &link{dialing: make(chan struct{}, 1)}
	links.links[address] = created
	return created, nil
}

func (links *Links) connect(ctx context.Context, link *link, address string) (*rpc.Client, error) {
	if client := link.present(); client != nil {
		return client, nil
	}
	select {
	case link.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "waiting for a link to %s", address), ErrUnreachable)
	}
	defer link.release()
	if client := link.present(); client != nil {
		return client, nil
	}
	if !link.mayDial(time.Now()) {
		return nil, errors.Wrapf(ErrUnreachable, "%s failed lately", address)
	}
	client, err := links.dial(ctx, address)
	if err != nil {
		link.failed(time.Now())
		links.Metrics.CountEvent(eventDialFailed)
		return nil, errors.Mark(errors.Wrapf(err, "link to %s", address), ErrUnreachable)
	}
	links.Metrics.CountEvent(eventDialed)
	return links.opened(link, client)
}

// opened keeps client unless the links were closed in the meantime.
func (links *Links) opened(link *link, client *rpc.Client) (*rpc.Client, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	if links.closed {
		client.Close()
		return nil, errors.Wrap(ErrUnreachable, "links are closed")
	}
	link.succeeded(client, time.Now())
	return client, nil
}

func (links *Links) dial(ctx context.Context, address string) (*rpc.Client, error) {
	if links.Identity == nil {
		return nil, ErrNotProved
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
	secured := tls.Client(&boundedConn{Conn: count(links.Traffic, conn)}, links.Identity.config())
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
		return links.finished(link, client, call.Error)
	case <-ctx.Done():
	}
	if link.silent(time.Now()) {
		links.Metrics.CountEvent(eventSilent)
		link.drop(client)
		link.failed(time.Now())
	}
	return errors.Mark(errors.Wrapf(ctx.Err(), "call of %s", method), ErrUnreachable)
}

func (links *Links) finished(link *link, client *rpc.Client, err error) error {
	var answered rpc.ServerError
	switch {
	case err == nil, errors.As(err, &answered):
		link.heard(time.Now())
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
		if client := link.present(); client != nil {
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
		if client := link.present(); client != nil {
			link.drop(client)
		}
	}
}

func (link *link) release() { <-link.dialing }

func (link *link) present() *rpc.Client {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.client
}

func (link *link) mayDial(now time.Time) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return !now.Before(link.redialAt)
}

func (link *link) failed(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.backoff == nil {
		link.backoff = backoff.NewExponentialBackOff()
		link.backoff.InitialInterval = firstRedial
		link.backoff.MaxInterval = lastRedial
	}
	link.redialAt = now.Add(link.backoff.NextBackOff())
}

func (link *link) succeeded(client *rpc.Client, now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.client = client
	link.backoff = nil
	link.redialAt = time.Time{}
	link.heardAt = now
}

func (link *link) drop(client *rpc.Client) {
	link.mu.Lock()
	defer link.mu.Unlock()
	client.Close()
	if link.client == client {
		link.client = nil
	}
}

func (link *link) heard(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.heardAt = now
}

func (link *link) silent(now time.Time) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return now.Sub(link.heardAt) >= silenceLimit
}

func (link *link) begin(now time.Time) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.calls++
	link.usedAt = now
}

func (link *link) end(now func() time.Time) {
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
