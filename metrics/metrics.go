// Package metrics holds the OpenTelemetry instruments of a daemon. It serves
// them in the Prometheus text format, together with the processor time, memory
// and allocations of the process.
//
// It guarantees that a nil *Set records nothing and never fails, so that
// components can be used without metrics.
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

// Peer is the kind of the remote side of a control connection.
type Peer string

// The kinds of peers whose control bytes are counted.
const (
	PeerDaemon   Peer = "daemon"
	PeerPlatform Peer = "platform"
	PeerUpstream Peer = "upstream"
	PeerRouter   Peer = "router"
)

// Direction is the direction of control bytes, as seen from this process.
type Direction string

// The possible directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Set holds the instruments of one daemon. Its methods are safe for concurrent
// use.
type Set struct {
	registry     *prometheus.Registry
	meter        metric.Meter
	refusals     metric.Int64Counter
	retries      metric.Int64Counter
	controlBytes metric.Int64Counter
	answers      metric.Int64Counter
	events       metric.Int64Counter

	firstByteSeconds metric.Float64Histogram
	requestSeconds   metric.Float64Histogram
	attemptSeconds   metric.Float64Histogram
	storeCallSeconds metric.Float64Histogram
	predictionRatio  metric.Float64Histogram
}

// New returns the instruments of a daemon with the given role, such as
// "router". Each Set has its own registry, so that one process may hold
// several.
func New(role string) (*Set, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	set := &Set{registry: registry, meter: provider.Meter("hickoryhead/" + role)}
	return set, set.createInstruments()
}

func (set *Set) createInstruments() error {
	counters := []struct {
		counter     *metric.Int64Counter
		name        string
		description string
	}{
		{&set.refusals, "hickoryhead.refusals", "Refused requests, by result code."},
		{&set.retries, "hickoryhead.retries", "Retries of requests, by reason."},
		{&set.controlBytes, "hickoryhead.control.bytes", "Control bytes sent and received on sockets, by kind of peer and direction."},
		{&set.answers, "hickoryhead.answers", "Finished answers, by outcome."},
		{&set.events, "hickoryhead.events", "Events of the coordination components, by name."},
	}
	for _, spec := range counters {
		counter, err := set.meter.Int64Counter(spec.name, metric.WithDescription(spec.description))
		if err != nil {
			return errors.Wrapf(err, "metric %s", spec.name)
		}
		*spec.counter = counter
	}
	return set.createHistograms()
}

// latencyBoundsSeconds are the upper bounds of the histogram buckets.
var latencyBoundsSeconds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16}

func (set *Set) createHistograms() error {
	histograms := []struct {
		histogram   *metric.Float64Histogram
		name        string
		description string
	}{
		{&set.firstByteSeconds, "hickoryhead.first.byte.seconds", "Time from a request's arrival to the first byte of its answer, by kind of route."},
		{&set.requestSeconds, "hickoryhead.request.seconds", "Time from a request's arrival to the end of its answer, by kind of route."},
		{&set.attemptSeconds, "hickoryhead.attempt.seconds", "Time from sending a request to an upstream to the headers of its answer."},
		{&set.storeCallSeconds, "hickoryhead.store.seconds", "Duration of a call to the platform's store, by table."},
	}
	for _, spec := range histograms {
		histogram, err := set.meter.Float64Histogram(spec.name,
			metric.WithDescription(spec.description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
		if err != nil {
			return errors.Wrapf(err, "metric %s", spec.name)
		}
		*spec.histogram = histogram
	}
	histogram, err := set.meter.Float64Histogram("hickoryhead.prediction.ratio",
		metric.WithDescription("Time to the first event of a stream as a multiple of the one that was expected."), metric.WithExplicitBucketBoundaries(ratioBounds...))
	if err != nil {
		return errors.Wrap(err, "metric hickoryhead.prediction.ratio")
	}
	set.predictionRatio = histogram
	return nil
}

// ratioBounds are the upper bounds of the histogram buckets of ratios.
var ratioBounds = []float64{0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 8}

// ObservePrediction records the time to the first event of a stream beside the one that
// was expected.
func (set *Set) ObservePrediction(took, expected time.Duration) {
	if set != nil && expected > 0 {
		set.predictionRatio.Record(context.Background(), took.Seconds()/expected.Seconds())
	}
}

// ObserveFirstByte records the time from a request's arrival to the first byte
// of its answer, on a route of the given kind.
func (set *Set) ObserveFirstByte(kind string, duration time.Duration) {
	if set != nil {
		set.firstByteSeconds.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
}

// ObserveRequest records the time from a request's arrival to the end of its
// answer, on a route of the given kind.
func (set *Set) ObserveRequest(kind string, duration time.Duration) {
	if set != nil {
		set.requestSeconds.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	}
}

// ObserveAttempt records the time from sending a request to an upstream to the
// headers of its answer.
func (set *Set) ObserveAttempt(duration time.Duration) {
	if set != nil {
		set.attemptSeconds.Record(context.Background(), duration.Seconds())
	}
}

// ObserveStoreCall records the duration of a call to the store for table.
func (set *Set) ObserveStoreCall(table string, duration time.Duration) {
	if set != nil {
		set.storeCallSeconds.Record(context.Background(), duration.Seconds(), metric.WithAttributes(attribute.String("table", table)))
	}
}

// Handler returns a handler that serves the instruments in the Prometheus text
// format. The handler of a nil Set answers 404.
func (set *Set) Handler() http.Handler {
	if set == nil {
		return http.NotFoundHandler()
	}
	return promhttp.HandlerFor(set.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is what read returns whenever the
// instruments are collected. read must be safe for concurrent use.
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

// CountRefusal counts one request that was refused with code.
func (set *Set) CountRefusal(code result.Code) {
	if set == nil {
		return
	}
	set.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code.String()), attribute.String("name", code.Name())))
}

// CountRetry counts one retry of a request. reason is the code of the attempt
// that failed.
func (set *Set) CountRetry(reason result.Code) {
	if set == nil {
		return
	}
	set.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason.Name())))
}

// CountAnswer counts one finished answer with its outcome.
func (set *Set) CountAnswer(outcome result.Outcome) {
	if set == nil {
		return
	}
	set.answers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
}

// CountEvent counts one event of a coordination component, such as
// "settings.adopted".
func (set *Set) CountEvent(event string) {
	if set == nil {
		return
	}
	set.events.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// AddControlBytes counts control bytes exchanged with a peer of the given kind.
func (set *Set) AddControlBytes(peer Peer, direction Direction, count ident.Bytes) {
	if set == nil {
		return
	}
	set.controlBytes.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("peer", string(peer)), attribute.String("direction", string(direction))))
}
