package capacity_test

import (
	"net/http"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// The names of the metrics that a usage is read from.
const (
	metricCPU     = "process_cpu_seconds_total"
	metricMemory  = "process_resident_memory_bytes"
	metricMallocs = "go_memstats_mallocs_total"
	metricAlloc   = "go_memstats_alloc_bytes_total"
	metricControl = "hickoryhead_control_bytes_total"
)

// usage is what a daemon has spent since its start.
type usage struct {
	// cpu is in seconds, memory and allocated in bytes.
	cpu       float64
	memory    float64
	mallocs   float64
	allocated float64
	// control counts control bytes by peer kind, both directions together.
	control map[string]float64
}

// usageAt reads the metrics of the daemon that serves them at address.
func usageAt(b *testing.B, address string) usage {
	b.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		b.Fatalf("metrics: %v", err)
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		b.Fatalf("metrics: %v", err)
	}
	read := usage{
		cpu:       sum(families[metricCPU]),
		memory:    sum(families[metricMemory]),
		mallocs:   sum(families[metricMallocs]),
		allocated: sum(families[metricAlloc]),
		control:   make(map[string]float64),
	}
	for _, metric := range families[metricControl].GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetName() == "peer" {
				read.control[label.GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return read
}

// sum adds up the values of a family, which is nil where there is none.
func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}

// since returns what was spent after earlier.
func (read usage) since(earlier usage) usage {
	spent := usage{
		cpu:       read.cpu - earlier.cpu,
		memory:    read.memory - earlier.memory,
		mallocs:   read.mallocs - earlier.mallocs,
		allocated: read.allocated - earlier.allocated,
		control:   make(map[string]float64),
	}
	for peer, count := range read.control {
		spent.control[peer] = count - earlier.control[peer]
	}
	return spent
}

// routerUsage and sidecarUsage read the usage of one daemon of a fleet.
func routerUsage(b *testing.B, entry *fleettest.Entry) usage { return usageAt(b, entry.Operators) }

func sidecarUsage(b *testing.B, unit *fleettest.Unit) usage { return usageAt(b, unit.Hop) }
