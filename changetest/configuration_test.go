package changetest_test

import (
	"fmt"
	"strings"
	"time"
)

const (
	host     = "a.example"
	serviceA = "a"
	serviceB = "b"
	// firstKey is the key that callers send most, and otherKey one that comes and goes.
	firstKey = "k1"
	otherKey = "k2"
	// baseIdleTimeout is the idle timeout outside of its changes.
	baseIdleTimeout = time.Second
	baseTimeout     = 6 * time.Second
)

// configuration is what changes from version to version.
type configuration struct {
	version int
	// weightA of 100 parts of the requests go to serviceA.
	weightA int
	// timeout is that of routes without streams.
	timeout time.Duration
	// idleTimeout is how long a connection of a caller may be idle.
	idleTimeout time.Duration
	// moreRoutes is the number of routes without requests.
	moreRoutes int
	// maxConnections bounds the connections to a service.
	maxConnections int
	// hasOtherRoute and hasOtherKey add a route and a key.
	hasOtherRoute, hasOtherKey bool
}

func firstConfiguration() configuration {
	return configuration{
		version: 1, weightA: 50, timeout: baseTimeout, idleTimeout: baseIdleTimeout,
		maxConnections: 100, hasOtherRoute: true, hasOtherKey: true,
	}
}

// versionPrefix is the prefix of the route that only one version has.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// encode returns the row of the store.
func (configuration configuration) encode() string {
	routes := []string{
		configuration.route("idempotent", "/idempotent/", configuration.timeout, true),
		configuration.route("non_idempotent", "/once/", configuration.timeout, false),
		configuration.route("streaming", "/stream/", baseTimeout, true),
		configuration.route("idempotent", versionPrefix(configuration.version), baseTimeout, true),
	}
	if configuration.hasOtherRoute {
		routes = append(routes, configuration.route("idempotent", "/other/", configuration.timeout, true))
	}
	for number := range configuration.moreRoutes {
		routes = append(routes, configuration.route("idempotent", fmt.Sprintf("/more-%d/", number), configuration.timeout, true))
	}
	keys := []string{firstKey}
	if configuration.hasOtherKey {
		keys = append(keys, otherKey)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":%d},"tenants":[{"name":"t","api-keys":["%s"]}]}`,
		configuration.version, strings.Join(routes, ","), configuration.service(serviceA), configuration.service(serviceB), configuration.idleTimeout.Milliseconds(), strings.Join(keys, `","`))
}

func (configuration configuration) route(kind, prefix string, timeout time.Duration, public bool) string {
	split := fmt.Sprintf(`[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`, serviceA, configuration.weightA, serviceB, 100-configuration.weightA)
	if configuration.weightA == 100 || configuration.weightA == 0 {
		split = fmt.Sprintf(`[{"service":%q,"weight":1}]`, map[int]string{100: serviceA, 0: serviceB}[configuration.weightA])
	}
	return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route-type":%q,"timeout-ms":%d,"target-latency-ms":300,"target-gap-ms":1000,"priority":1,"traffic-split":%s,"max-attempts":2,"public":%t}`,
		strings.Trim(prefix, "/"), host, prefix, kind, timeout.Milliseconds(), split, public)
}

func (configuration configuration) service(name string) string {
	return fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":%d,"protocol":"h1","tls":false}`, name, configuration.maxConnections)
}
