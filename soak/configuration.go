package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/routing"
)

// configure writes the next version of the configuration to the store. Each version
// has a route of its own in place of that of the previous version.
func (soak *Soak) configure() { soak.reconfigure(func(*variant) {}) }

// reconfigure is configure with a changed variant.
func (soak *Soak) reconfigure(change func(variant *variant)) {
	soak.configuring.Lock()
	defer soak.configuring.Unlock()
	change(&soak.variant)
	soak.mu.Lock()
	version := soak.configVersion + 1
	soak.mu.Unlock()
	value, err := platform.EncodeConfig(configOf(version, soak.variant))
	if err != nil {
		panic("soak: encode configuration: " + err.Error())
	}
	soak.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.configVersion, soak.configValue, soak.acceptedAt = version, value, time.Now()
}

const (
	// routeTimeout is the timeout of all routes but those that variants change, in
	// milliseconds.
	routeTimeout = 2500
	// maxAttempts is how many upstreams may run a request that may run more than
	// once.
	maxAttempts = 2
)

// versionStep is the difference between the versions of two successive
// configurations.
const versionStep = 3

// configOf returns the configuration with the given number and variant.
func configOf(version int, variant variant) routing.Config {
	route := func(name ident.RouteName, prefix string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: callerHost, Prefix: prefix, Kind: kind, Timeout: routeTimeout, Target: 300, Priority: 1, MaxAttempts: attempts,
			Sticky: kind == routing.Stream, MaxGap: 800, Shares: []routing.Share{{Service: poolService, Weight: 1}},
		}
	}
	resume := route("resume", "/resume/", routing.Stream, maxAttempts)
	resume.Resumable = true
	probe := route("probe", fmt.Sprintf("/v%d/", version), routing.Idempotent, maxAttempts)
	probe.Public = true
	routes := []routing.Route{
		route("once", "/once/", routing.NonIdempotent, 1), route("again", "/again/", routing.Idempotent, maxAttempts),
		route("stream", "/stream/", routing.Stream, 1), resume, probe,
	}
	services := []routing.Service{{Name: poolService, MaxConnections: variant.maxConnections, ColdStart: coldRule.Start, ColdPerSecond: coldRule.PerSecond}}
	services = append(services, routing.Service{Name: otherService, MaxConnections: 100})
	for size := range maxSmallService {
		services = append(services, routing.Service{Name: smallServiceName(size + 1), MaxConnections: 100})
	}
	return routing.Config{
		Version:    routing.Version(version * versionStep),
		Routes:     slices.Concat(routes, smallRoutes(route), variant.routes(route)),
		Services:   services,
		Workspaces: variant.workspaces(),
		Limits:     routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3000, IdleTimeout: variant.idleTimeout},
	}
}
