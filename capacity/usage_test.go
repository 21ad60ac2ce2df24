package capacity_test

import (
	"net/http"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// Names of the daemon's metrics that usage is read from.
const (
	metricCPU     = "process_cpu_seconds_total"
	metricMemory  = "process_resident_memory_bytes"
	metricMallocs = "go_memstats_mallocs_total"
	metricAlloc   = "go_memstats_alloc_bytes_total"
	metricControl = "hickoryhead_control_bytes_total"
)

// usage is the resource usage of a daemon. All fields except residentBytes are
// totals since its start.
type usage struct {
	cpuSeconds     float64
	residentBytes  float64
	mallocs        float64
	allocatedBytes float64
	// controlBytes counts sent and received control bytes together, by the kind
	// of the peer.
	controlBytes map[string]float64
}

// scrapeUsage reads the usage of the daemon that serves its metrics at address.
func scrapeUsage(b *testing.B, address string) usage {
	b.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		b.Fatalf("get metrics of %s: %v", address, err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		b.Fatalf("parse metrics of %s: %v", address, err)
	}
	current := usage{
		cpuSeconds:     sumFamily(families[metricCPU]),
		residentBytes:  sumFamily(families[metricMemory]),
		mallocs:        sumFamily(families[metricMallocs]),
		allocatedBytes: sumFamily(families[metricAlloc]),
		controlBytes:   make(map[string]float64),
	}
	for _, metric := range families[metricControl].GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetName() == "peer" {
				current.controlBytes[label.GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return current
}

// sumFamily returns the sum of the values of a family of counters or gauges. It
// is zero for a nil family, that is for a metric that the daemon doesn't export.
func sumFamily(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}

// since returns the usage between earlier and later. Its residentBytes is the
// change, which may be negative.
func (later usage) since(earlier usage) usage {
	used := usage{
		cpuSeconds:     later.cpuSeconds - earlier.cpuSeconds,
		residentBytes:  later.residentBytes - earlier.residentBytes,
		mallocs:        later.mallocs - earlier.mallocs,
		allocatedBytes: later.allocatedBytes - earlier.allocatedBytes,
		controlBytes:   make(map[string]float64),
	}
	for peer, count := range later.controlBytes {
		used.controlBytes[peer] = count - earlier.controlBytes[peer]
	}
	return used
}

// routerUsage reads the usage of a router from its operator address.
func routerUsage(b *testing.B, entry *fleettest.Router) usage { return scrapeUsage(b, entry.Operators) }

// sidecarUsage reads the usage of a sidecar from its hop address.
func sidecarUsage(b *testing.B, unit *fleettest.Unit) usage { return scrapeUsage(b, unit.Hop) }
