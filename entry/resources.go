package entry

import (
	"math"
	"net"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
)

const (
	// memoryLimitShare is the share of the configured memory that is set as the
	// runtime's soft memory limit, above which the garbage collector works harder.
	memoryLimitShare = 0.7
	bytesPerMB       = 1 << 20
	// accountShare is the share of the configured memory that bodies, long heads and answers
	// may take. The rest of the soft limit is for the state of the fleet, connections, and what
	// the garbage collector has not freed yet.
	accountShare = 0.2
	// connMemoryShare is the share of the configured memory that callers' connections may
	// take, and bytesPerConn what one takes: its buffers, the stacks of its goroutines and the
	// first part of a body.
	connMemoryShare = 0.15
	bytesPerConn    = 24 << 10
	// callerDescriptorShare is the share of the descriptors that callers' connections may
	// take. Their requests need one to an upstream each, of which as many may be open or
	// idle. The rest is for the store, other routers and the other listeners.
	callerDescriptorShare = 0.375
	// socketBufferBytes is the size of the buffers of a caller's socket: enough for a link
	// of 10 Mbit/s with a round trip of 100 ms, where the system would allow megabytes.
	socketBufferBytes = 128 << 10
	// maxAuxiliaryConns bounds the connections of the listeners for readiness and metrics.
	maxAuxiliaryConns = 16
	// maxAuxiliaryHeadBytes bounds the heads of requests there, auxiliaryReadTimeout the
	// time to read one and auxiliaryWriteTimeout the time to answer it: the VM may stall for
	// seconds in between.
	maxAuxiliaryHeadBytes = 8 << 10
	auxiliaryReadTimeout  = 10 * time.Second
	auxiliaryWriteTimeout = 10 * time.Second
)

// memoryFor returns how many bytes bodies and answers may take, or zero for the default.
func memoryFor(settings config.Entry) ident.Bytes {
	return ident.Bytes(accountShare * float64(settings.MemoryMB) * bytesPerMB)
}

// descriptorsFor returns how many descriptors the process may open, or zero if that is not
// known.
func descriptorsFor(settings config.Entry) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return settings.MaxDescriptors
	}
	if settings.MaxDescriptors > 0 {
		return min(settings.MaxDescriptors, int(limit.Cur))
	}
	return int(limit.Cur)
}

// maxCallerConns returns how many connections callers may have with the given number of
// descriptors, or zero for no bound.
func maxCallerConns(settings config.Entry, descriptors int) int {
	byDescriptors := int(callerDescriptorShare * float64(descriptors))
	byMemory := int(connMemoryShare * float64(settings.MemoryMB) * bytesPerMB / bytesPerConn)
	if byDescriptors == 0 || byMemory == 0 {
		return max(byDescriptors, byMemory)
	}
	return min(byDescriptors, byMemory)
}

// boundLog logs connections that were closed at the bound of a listener.
type boundLog struct {
	daemon *Daemon
	// listener names the listener in log lines and metrics.
	listener string
	limit    int
	throttle logging.Throttle
}

func (boundLog *boundLog) add(reason forward.BoundReason) {
	boundLog.daemon.metrics.CountEvent("conn.bound." + boundLog.listener + "." + string(reason))
	if closed, due := boundLog.throttle.Add(time.Now()); due {
		boundLog.daemon.Logger.Warn("Connections are at their bound.", "Listener", boundLog.listener, "ConnLimit", boundLog.limit, "LastReason", reason, "ClosedCount", closed)
	}
}

// boundCallers sets what bounds the connections of callers and to upstreams.
func (daemon *Daemon) boundCallers(callers *httpService) {
	descriptors := descriptorsFor(daemon.Config)
	daemon.handler.Memory.Stalls, daemon.callerConns.Stalls = &daemon.stalls, &daemon.stalls
	daemon.callerConns.Max = maxCallerConns(daemon.Config, descriptors)
	daemon.callerConns.OnBound = (&boundLog{daemon: daemon, listener: "callers", limit: daemon.callerConns.Max}).add
	daemon.handler.Connections.Max = int(callerDescriptorShare * float64(descriptors))
	callers.listener = &forward.Listener{
		Listener:     &bufferListener{Listener: callers.listener},
		Memory:       &daemon.handler.Memory,
		MaxHeadBytes: daemon.maxHeadBytes,
		OnNoRoom:     daemon.handler.CountHeadWithoutRoom,
		OnClose:      func(reason forward.CloseReason) { daemon.metrics.CountEvent("conn.closed." + string(reason)) },
		OnUnhandled:  daemon.countUnhandled,
		OnKeep:       func(reason forward.KeepReason) { daemon.metrics.CountEvent("conn.kept." + string(reason)) },
	}
	callers.server.ConnContext = forward.ConnContext
	// net/http would answer OPTIONS * itself, with a success that is no upstream's.
	callers.server.DisableGeneralOptionsHandler = true
	callers.server.ConnState = daemon.callerConns.Track
	daemon.Logger.Info("Limits of memory and connections.",
		"MemoryMB", daemon.Config.MemoryMB, "HeldLimit", daemon.handler.Memory.Limit, "Descriptors", descriptors, "CallerConns", daemon.callerConns.Max, "UpstreamConns", daemon.handler.Connections.Max)
}

// countUnhandled counts heads that were read whole and went to no handler.
func (daemon *Daemon) countUnhandled(heads int) {
	for range heads {
		daemon.metrics.CountEvent("request.unhandled")
	}
}

// boundAuxiliary sets what bounds the connections of the listeners for readiness and metrics.
func (daemon *Daemon) boundAuxiliary(service *httpService, name string) {
	conns := &forward.CallerConns{Max: maxAuxiliaryConns}
	conns.OnBound = (&boundLog{daemon: daemon, listener: name, limit: conns.Max}).add
	// It sees the requests that have arrived, which are not closed as idle.
	service.listener = &forward.Listener{Listener: service.listener}
	server := service.server
	server.ConnState = conns.Track
	server.MaxHeaderBytes = maxAuxiliaryHeadBytes
	server.ReadHeaderTimeout = auxiliaryReadTimeout
	server.ReadTimeout = auxiliaryReadTimeout
	server.WriteTimeout = auxiliaryWriteTimeout
	server.IdleTimeout = defaultIdleTimeout
}

// maxHeadBytes returns the longest head that the configuration allows, or zero.
func (daemon *Daemon) maxHeadBytes() int {
	table := daemon.routes.Table()
	if table == nil {
		return 0
	}
	return table.Limits.HeaderBytes
}

// registerGauges registers the gauges of memory and connections.
func (daemon *Daemon) registerGauges() error {
	gauges := []struct {
		name, description string
		read              func() int64
	}{
		{"hickoryhead_memory_held_bytes", "Bytes held for bodies, long heads and answers.", func() int64 { return int64(daemon.handler.Memory.Held()) }},
		{"hickoryhead_memory_limit_bytes", "Most bytes that bodies, long heads and answers may take.", func() int64 { return int64(daemon.handler.Memory.Limit) }},
		{"hickoryhead_memory_unfinished", "Bodies and answers that may be given up.", func() int64 { return int64(daemon.handler.Memory.Unfinished()) }},
		{"hickoryhead_caller_connections", "Open connections of callers.", func() int64 { return int64(daemon.callerConns.Open()) }},
		{"hickoryhead_caller_connections_limit", "Most connections that callers may have; zero means no bound.", func() int64 { return int64(daemon.callerConns.Max) }},
		{"hickoryhead_upstream_connections", "Open connections to upstreams.", func() int64 { return int64(daemon.handler.Connections.Open()) }},
	}
	for _, gauge := range gauges {
		if err := daemon.metrics.Gauge(gauge.name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// bufferListener sets the sizes of the buffers of each connection that it accepts.
type bufferListener struct {
	net.Listener
}

// Accept returns the next connection.
func (bufferListener *bufferListener) Accept() (net.Conn, error) {
	conn, err := bufferListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if sized, ok := conn.(*net.TCPConn); ok {
		// A failure leaves the buffers as the system sizes them.
		_ = sized.SetReadBuffer(socketBufferBytes)
		_ = sized.SetWriteBuffer(socketBufferBytes)
	}
	return conn, nil
}
