package daemon

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net"
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

const defaultStopTimeout = 10 * time.Minute

// Addresses holds the listen addresses of a started daemon, as IP:port. An address
// is empty if the daemon's role has no such listener.
type Addresses struct {
	Callers   string
	Operators string
	Hop       string
	Peers     string
}

// base holds the components that routers and sidecars share.
type base struct {
	config          config.Daemon
	logger          *slog.Logger
	metrics         *metrics.Set
	platform        *platform.Client
	platformTraffic *metrics.Traffic
	peerTraffic     *metrics.Traffic
	directory       *directory.Directory
	server          *peer.Server
	links           *peer.Links
	store           *settingstable.Store
	settings        *peer.Replicator
	peerListener    net.Listener
	hangups         *hangupService
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
		config:          loaded,
		logger:          logging.Component(logger, string(role)),
		metrics:         set,
		platformTraffic: &metrics.Traffic{Set: set, Peer: metrics.PeerPlatform},
		peerTraffic:     &metrics.Traffic{Set: set, Peer: metrics.PeerDaemon},
		directory:       &directory.Directory{Region: loaded.Region},
	}
	base.hangups = newHangupService(base.logger)
	base.platform = platform.New(loaded.Platform, base.platformTraffic)
	base.server = &peer.Server{Identity: identity, Traffic: base.peerTraffic, Metrics: set, Logger: logger}
	base.links = &peer.Links{Identity: identity, Traffic: base.peerTraffic, Metrics: set}
	base.store = &settingstable.Store{Client: base.platform}
	base.settings = &peer.Replicator{
		Call:       base.links.Call,
		Heads:      base.store.Heads,
		WriteAgain: base.store.WriteAgain,
		Load:       base.store.Load,
		Snapshot:   base.store.ReadSnapshot,
		Metrics:    set,
		Logger:     logger,
	}
	return base, base.server.Register("Settings", base.settings.Receiver())
}

// view returns the settings in force. It is empty after a start until the daemon
// knows that its settings are not older than those that were in force before.
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
		return errors.Wrapf(err, "listen for peers on %s", base.config.PeerListen)
	}
	base.peerListener = listener
	return nil
}

// selfVM describes the VM of this daemon. It needs the peer listener to be open.
func (base *base) selfVM(role platform.Role) platform.VM {
	return platform.VM{
		ID:          base.config.VM,
		Role:        role,
		PeerAddress: base.peerListener.Addr().String(),
		Zone:        base.config.Zone,
		Region:      base.config.Region,
	}
}

// start starts the background loops of the shared components. They end with ctx.
func (base *base) start(ctx context.Context, role platform.Role) {
	base.settings.Self = base.selfVM(role)
	go base.hangups.run(ctx)
	peers := &peerService{server: base.server, listener: base.peerListener, logger: base.logger}
	go peers.run(ctx)
	links := &linksService{links: base.links}
	go links.run(ctx)
	replication := &replicationService{settings: base.settings}
	go replication.run(ctx)
}

// deriveKey derives a key for one purpose from the secret that the fleet shares.
func (base *base) deriveKey(purpose string) []byte {
	hash := hmac.New(sha256.New, []byte(base.config.Secret))
	hash.Write([]byte("hickoryhead " + purpose + " v1"))
	return hash.Sum(nil)
}

// hopToken returns the bearer token for HTTP requests to sidecars.
func (base *base) hopToken() string {
	return hex.EncodeToString(base.deriveKey("hop"))
}

func (base *base) stopTimeout() time.Duration {
	if base.config.StopTimeoutMs > 0 {
		return time.Duration(base.config.StopTimeoutMs) * time.Millisecond
	}
	return defaultStopTimeout
}

// peerService serves net/rpc calls of peers until its context ends.
type peerService struct {
	server   *peer.Server
	listener net.Listener
	logger   *slog.Logger
}

func (service *peerService) run(ctx context.Context) {
	if err := service.server.Serve(ctx, service.listener); err != nil {
		service.logger.Error("Peer server failed.", "error", err)
	}
}

// replicationService replicates the settings until its context ends.
type replicationService struct {
	settings *peer.Replicator
}

func (service *replicationService) run(ctx context.Context) { service.settings.Run(ctx) }

// linksService maintains the connections to peers until its context ends.
type linksService struct {
	links *peer.Links
}

func (service *linksService) run(ctx context.Context) { service.links.Run(ctx) }
