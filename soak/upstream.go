package soak

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// poolService is the service of all upstreams.
const poolService = "pool"

// errStoreAway is the error of a heartbeat during an outage of the store.
var errStoreAway = errors.New("store away")

// run is one start of work on a request.
type run struct {
	upstream ident.UpstreamID
	at       time.Time
}

// runBook records what the upstreams ran. It is safe for concurrent use.
type runBook struct {
	mu   sync.Mutex
	runs map[ident.AttemptID][]run
}

func (book *runBook) add(attempt ident.AttemptID, started run) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if book.runs == nil {
		book.runs = make(map[ident.AttemptID][]run)
	}
	book.runs[attempt] = append(book.runs[attempt], started)
}

func (book *runBook) of(attempt ident.AttemptID) []run {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.runs[attempt]
}

// upstream is a stand-in of a runner behind a proxy.
type upstream struct {
	runner *standin.Runner
	store  *standin.Platform
	proxy  *proxy

	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu     sync.Mutex
	leftAt time.Time
}

func startUpstream(id ident.UpstreamID, store *standin.Platform, book *runBook) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := startProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	upstream := &upstream{store: store, proxy: proxy, listener: listener, cancel: cancel, done: make(chan struct{})}
	upstream.runner = &standin.Runner{
		ID:      id,
		Service: poolService,
		Address: proxy.address(),
		Write:   upstream.write,
		OnStart: func(attempt ident.AttemptID) { book.add(attempt, run{upstream: id, at: time.Now()}) },
	}
	upstream.server = &http.Server{Handler: upstream.runner}
	serving := &serving{server: upstream.server, listener: listener}
	go serving.run()
	go upstream.run(ctx)
	return upstream, nil
}

// serving serves HTTP until its server is closed.
type serving struct {
	server   *http.Server
	listener net.Listener
}

func (serving *serving) run() {
	// Every end of it is by Close.
	_ = serving.server.Serve(serving.listener)
}

// run writes the upstream's row until ctx ends.
func (upstream *upstream) run(ctx context.Context) {
	defer close(upstream.done)
	upstream.runner.Run(ctx)
}

// write writes a row unless the store is away.
func (upstream *upstream) write(record platform.Record) error {
	if upstream.store.Switches().Outage {
		return errStoreAway
	}
	upstream.store.Write(record)
	return nil
}

// leave says that the upstream is leaving and notes when the store took that.
func (upstream *upstream) leave() {
	upstream.runner.Leave()
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.leftAt = time.Now()
}

// crash breaks off all work and lets the row lapse; it comes back as another run
// under the same ID.
func (upstream *upstream) crash() {
	upstream.runner.Crash()
	upstream.proxy.reset()
}

// lapse removes the row of an upstream that has been silent for long.
func (upstream *upstream) lapse() { upstream.store.Remove(upstream.runner.Row()) }

func (upstream *upstream) revive() {
	upstream.mu.Lock()
	upstream.leftAt = time.Time{}
	upstream.mu.Unlock()
	upstream.runner.Restart()
}

// departed returns since when the upstream is leaving, or a zero time.
func (upstream *upstream) departed() time.Time {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.leftAt
}

func (upstream *upstream) close() {
	upstream.cancel()
	<-upstream.done
	_ = upstream.server.Close()
	upstream.proxy.close()
}
