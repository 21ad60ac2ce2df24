package daemon

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

const (
	defaultStopTimeout = 10 * time.Minute
	readHeaderTimeout  = 10 * time.Second
	// keepAliveTimeout is above the clients' own, so that they close first.
	keepAliveTimeout = 2 * time.Minute
)

// Addresses are where a started daemon listens, as IP:port. Those that its role
// lacks are empty.
type Addresses struct {
	Callers   string
	Operators string
	Hop       string
	Peers     string
}

// base holds the parts that every daemon has.
type base struct {
	config    config.Daemon
	logger    *slog.Logger
	metrics   *metrics.Set
	platform  *platform.Client
	stored    *metrics.Traffic
	peered    *metrics.Traffic
	directory *directory.Directory
	server    *peer.Server
	links     *peer.Links
	store     *settingstable.Store
	settings  *peer.Replicator
	peerAt    net.Listener
}

func newBase(loaded config.Daemon, role platform.Role, logger *slog.Logger) (*base, error) {
	set, err := metrics.New(string(role))
	if err != nil {
		return nil, err
	}
	former := make([][]byte, len(loaded.FormerSecrets))
	for i, secret := range loaded.FormerSecrets {
		former[i] = []byte(secret)
	}
	identity, err := peer.NewIdentity([]byte(loaded.Secret), former...)
	if err != nil {
		return nil, err
	}
	base := &base{
		config:    loaded,
		logger:    logging.Component(logger, string(role)),
		metrics:   set,
		stored:    &metrics.Traffic{Set: set, Peer: metrics.PeerPlatform},
		peered:    &metrics.Traffic{Set: set, Peer: metrics.PeerDaemon},
		directory: &directory.Directory{Region: loaded.Region},
	}
	base.platform = platform.New(loaded.Platform, base.stored)
	base.server = &peer.Server{Identity: identity, Traffic: base.peered, Metrics: set, Logger: logger}
	base.links = &peer.Links{Identity: identity, Traffic: base.peered, Metrics: set}
	base.store = &settingstable.Store{Client: base.platform}
	base.settings = &peer.Replicator{
		Call:     base.links.Call,
		Heads:    base.store.Heads,
		Load:     base.store.Load,
		Snapshot: base.store.ReadSnapshot,
		Metrics:  set,
		Logger:   logger,
	}
	return base, base.server.Register("Settings", base.settings.Receiver())
}

// view returns the settings in force. It is empty until the daemon knows that
// what it has is not older than what was in force before, as after a start.
func (base *base) view() *settings.View {
	if !base.settings.Ready() {
		return new(settings.View)
	}
	return base.settings.View()
}

// listen opens the peer listener.
func (base *base) listen() error {
	listener, err := net.Listen("tcp", base.config.PeerListen)
	if err != nil {
		return errors.Wrap(err, "peer listener")
	}
	base.peerAt = listener
	return nil
}

// vm returns the daemon's own VM, once it listens for peers.
func (base *base) vm(role platform.Role) platform.VM {
	return platform.VM{
		ID:          base.config.VM,
		Role:        role,
		PeerAddress: base.peerAt.Addr().String(),
		Zone:        base.config.Zone,
		Region:      base.config.Region,
	}
}

// start begins the parts' own loops. They end with ctx.
func (base *base) start(ctx context.Context, role platform.Role) {
	base.settings.Self = base.vm(role)
	peers := &peerService{server: base.server, listener: base.peerAt, logger: base.logger}
	go peers.run(ctx)
	links := &linksService{links: base.links}
	go links.run(ctx)
	replication := &replication{settings: base.settings}
	go replication.run(ctx)
}

// secretFor derives a key for one use from the fleet's shared key.
func (base *base) secretFor(use string) []byte {
	hash := hmac.New(sha256.New, []byte(base.config.Secret))
	hash.Write([]byte("hickoryhead " + use + " v1"))
	return hash.Sum(nil)
}

// hopToken returns the bearer token of the hop between routers and sidecars.
func (base *base) hopToken() string {
	return hex.EncodeToString(base.secretFor("hop"))
}

func (base *base) stopTimeout() time.Duration {
	if base.config.StopTimeoutMs > 0 {
		return time.Duration(base.config.StopTimeoutMs) * time.Millisecond
	}
	return defaultStopTimeout
}

// peerService serves net/rpc until its context ends.
type peerService struct {
	server   *peer.Server
	listener net.Listener
	logger   *slog.Logger
}

func (service *peerService) run(ctx context.Context) {
	if err := service.server.Serve(ctx, service.listener); err != nil {
		service.logger.Error("Peer server ended.", "error", err)
	}
}

// replication keeps the settings in force up to date until its context ends.
type replication struct {
	settings *peer.Replicator
}

func (replication *replication) run(ctx context.Context) { replication.settings.Run(ctx) }

// linksService keeps the links to peers until its context ends.
type linksService struct {
	links *peer.Links
}

func (service *linksService) run(ctx context.Context) { service.links.Run(ctx) }

// httpService serves HTTP on one listener.
type httpService struct {
	server   *http.Server
	listener net.Listener
	logger   *slog.Logger
}

func newHTTPService(address string, handler http.Handler, logger *slog.Logger) (*httpService, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listener")
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return &httpService{server: server, listener: listener, logger: logger}, nil
}

func (service *httpService) address() string { return service.listener.Addr().String() }

func (service *httpService) run() {
	err := service.server.Serve(service.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		service.logger.Error("HTTP server ended.", "error", err)
	}
}
