// Package metrics holds the OpenTelemetry instruments of a daemon and serves
// them in the Prometheus text format, with the processor time, the memory and
// the allocations of its process.
//
// It promises that a nil *Set records nothing and never fails, so that the
// parts can be used without metrics.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Peer names the far end of a control connection.
type Peer string

// The kinds of far ends whose control bytes are counted.
const (
	PeerDaemon   Peer = "daemon"
	PeerPlatform Peer = "platform"
	PeerUpstream Peer = "upstream"
	PeerRouter   Peer = "router"
)

// Direction says which way control bytes went.
type Direction string

// The directions of control bytes.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Set holds the instruments of one daemon.
type Set struct {
	registry *prometheus.Registry
	meter    metric.Meter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	control  metric.Int64Counter
	answers  metric.Int64Counter
	events   metric.Int64Counter

	firstByte metric.Float64Histogram
	whole     metric.Float64Histogram
	upstream  metric.Float64Histogram
	store     metric.Float64Histogram
}

// New returns the instruments of a daemon in role, such as "router".
func New(role string) (*Set, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	set := &Set{registry: registry, meter: provider.Meter("hickoryhead/" + role)}
	return set, set.declare()
}

func (set *Set) declare() error {
	counters := []struct {
		counter     *metric.Int64Counter
		name        string
		description string
	}{
		{&set.refusals, "hickoryhead.refusals", "Refused requests, by result code."},
		{&set.retries, "hickoryhead.retries", "Further tries of a request, by the reason for them."},
		{&set.control, "hickoryhead.control.bytes", "Control bytes at the socket, by peer kind and direction."},
		{&set.answers, "hickoryhead.answers", "Finished answers, by outcome."},
		{&set.events, "hickoryhead.events", "Events of the coordination parts, by name."},
	}
	for _, declared := range counters {
		counter, err := set.meter.Int64Counter(declared.name, metric.WithDescription(declared.description))
		if err != nil {
			return errors.Wrapf(err, "metric %s", declared.name)
		}
		*declared.counter = counter
	}
	return set.declareHistograms()
}

// latencyBounds are the upper bounds of the latency histograms, in seconds.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16}

func (set *Set) declareHistograms() error {
	histograms := []struct {
		histogram   *metric.Float64Histogram
		name        string
		description string
	}{
		{&set.firstByte, "hickoryhead.first.byte.seconds", "Time from a request's arrival to the first byte of its answer, by kind of route."},
		{&set.whole, "hickoryhead.request.seconds", "Time from a request's arrival to the end of its answer, by kind of route."},
		{&set.upstream, "hickoryhead.attempt.seconds", "Time from the sending of a request to an upstream to the head of its answer."},
		{&set.store, "hickoryhead.store.seconds", "Time of a call to the platform's store, by table."},
	}
	for _, declared := range histograms {
		histogram, err := set.meter.Float64Histogram(declared.name,
			metric.WithDescription(declared.description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
		if err != nil {
			return errors.Wrapf(err, "metric %s", declared.name)
		}
		*declared.histogram = histogram
	}
	return nil
}

// ObserveFirstByte takes in the time to the first byte of an answer on a route
// of kind.
func (set *Set) ObserveFirstByte(kind string, taken time.Duration) {
	if set != nil {
		set.firstByte.Record(context.Background(), taken.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
}

// ObserveRequest takes in the time to the end of an answer on a route of kind.
func (set *Set) ObserveRequest(kind string, taken time.Duration) {
	if set != nil {
		set.whole.Record(context.Background(), taken.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
}

// ObserveAttempt takes in the time to the head of an upstream's answer.
func (set *Set) ObserveAttempt(taken time.Duration) {
	if set != nil {
		set.upstream.Record(context.Background(), taken.Seconds())
	}
}

// ObserveStoreCall takes in the time of a call to the store about table.
func (set *Set) ObserveStoreCall(table string, taken time.Duration) {
	if set != nil {
		set.store.Record(context.Background(), taken.Seconds(), metric.WithAttributes(attribute.String("table", table)))
	}
}

// Handler serves the instruments in the Prometheus text format.
func (set *Set) Handler() http.Handler {
	if set == nil {
		return http.NotFoundHandler()
	}
	return promhttp.HandlerFor(set.registry, promhttp.HandlerOpts{})
}

// Gauge registers read as the value of the gauge name.
func (set *Set) Gauge(name, description string, read func() int64) error {
	if set == nil {
		return nil
	}
	observe := func(_ context.Context, observer metric.Int64Observer) error {
		observer.Observe(read())
		return nil
	}
	_, err := set.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(observe))
	return errors.Wrapf(err, "gauge %s", name)
}

// CountRefusal counts one refusal with code.
func (set *Set) CountRefusal(code result.Code) {
	if set == nil {
		return
	}
	set.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code.String()), attribute.String("name", code.Name())))
}

// CountRetry counts one further try for reason.
func (set *Set) CountRetry(reason result.Code) {
	if set == nil {
		return
	}
	set.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason.Name())))
}

// CountAnswer counts one finished answer.
func (set *Set) CountAnswer(outcome result.Outcome) {
	if set == nil {
		return
	}
	set.answers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
}

// CountEvent counts one event of a coordination part, such as
// "settings.adopted".
func (set *Set) CountEvent(event string) {
	if set == nil {
		return
	}
	set.events.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// AddControlBytes counts control bytes exchanged with peer.
func (set *Set) AddControlBytes(peer Peer, direction Direction, count ident.Bytes) {
	if set == nil {
		return
	}
	set.control.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("peer", string(peer)), attribute.String("direction", string(direction))))
}
