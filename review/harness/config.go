package main

const (
	host     = "shop.example"
	firstKey = "n2ctnfzs989anu6wsjnb"
	otherKey = "q7x0e4m1v5tz8kcw3hdy"
)

// config returns a configuration in which the keys are those of one tenant each, and
// orders go to a service.
func config(version int, orders string, keys ...string) map[string]any {
	var tenants []any
	for _, key := range keys {
		tenants = append(tenants, map[string]any{"name": "store-" + key[:4], "api-keys": []string{key}})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "orders", "host": host, "prefix": "/orders/", "service": orders, "route-type": "non_idempotent",
				"timeout-ms": 3000, "target-latency-ms": 300, "priority": 0, "max-attempts": 1,
			},
			map[string]any{
				"name": "drafts", "host": host, "prefix": streamPath, "service": "desk", "route-type": "streaming",
				"timeout-ms": 12000, "target-latency-ms": 1200, "target-gap-ms": 800, "priority": 0, "max-attempts": 1,
			},
			map[string]any{
				"name": "questions", "host": host, "prefix": questionPath, "service": "pool", "route-type": "streaming",
				"timeout-ms": 15000, "target-latency-ms": 500, "target-gap-ms": 600, "priority": 0, "max-attempts": 2, "resume-streams": true,
			},
		},
		"services": []any{
			map[string]any{"name": "desk", "max-connections": 370},
			map[string]any{"name": "desk-new", "max-connections": 370},
			map[string]any{"name": "pool", "max-connections": 370},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	}
}
