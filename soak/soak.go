package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/standin"
)

// Options say what a soak plays.
type Options struct {
	// Seed draws the faults and the requests.
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Routers is the number of processes, Upstreams and Callers those of the
	// stand-ins.
	Routers   int
	Upstreams int
	Callers   int
	// Program is the path of the hickoryhead program.
	Program string
	// Dir takes the logs and settings of the processes.
	Dir string
}

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
	// After is the time since the start of the soak.
	After time.Duration
}

// Report is what a soak saw.
type Report struct {
	Seed     uint64
	Requests map[string]int
	Served   int
	// Faults counts the injected faults by name.
	Faults     map[string]int
	Violations []Violation
}

// Soak is a soak that plays. It is made by Run.
type Soak struct {
	options   Options
	store     *standin.Platform
	server    *httptest.Server
	book      runBook
	routers   []*router
	upstreams []*upstream
	ports     *portBlock
	began     time.Time

	mu         sync.Mutex
	report     Report
	notRun     []ident.AttemptID
	configured int
	acceptedAt time.Time
	// disturbed holds the spans in which something unplanned was going on; an
	// open one has no end.
	disturbed []span
}

// span is a time with an end, or one that goes on.
type span struct {
	from  time.Time
	until time.Time
}

// warmUp is the time between the start of the processes and the first fault, and
// coolDown the one in which all recovers.
const (
	warmUp   = 2 * time.Second
	coolDown = 5 * time.Second
)

// Run plays a soak and returns what it saw.
func Run(ctx context.Context, options Options) (Report, error) {
	soak := &Soak{options: options, store: new(standin.Platform), began: time.Now()}
	soak.report = Report{Seed: options.Seed, Requests: make(map[string]int), Faults: make(map[string]int)}
	defer soak.close()
	if err := soak.build(); err != nil {
		return soak.report, err
	}
	balancing, stopBalancing := context.WithCancel(context.Background())
	balancer := &balancer{routers: soak.routers, done: make(chan struct{})}
	go balancer.run(balancing)
	time.Sleep(warmUp)
	calling, stopCalling := context.WithCancel(context.Background())
	var ended []chan struct{}
	for number := range options.Callers {
		caller := &caller{soak: soak, number: number, random: rand.New(rand.NewPCG(options.Seed, uint64(number)+1)), done: make(chan struct{})}
		ended = append(ended, caller.done)
		go caller.run(calling)
	}
	prober := &prober{soak: soak, done: make(chan struct{}), served: make(map[string]int)}
	ended = append(ended, prober.done)
	go prober.run(calling)

	schedule := &schedule{soak: soak, random: rand.New(rand.NewPCG(options.Seed, 0))}
	schedule.play(ctx)
	time.Sleep(coolDown)
	stopCalling()
	for _, done := range ended {
		<-done
	}
	stopBalancing()
	<-balancer.done
	soak.checkPromises()
	soak.checkRecovery()
	return soak.report, nil
}

func (soak *Soak) build() error {
	soak.server = httptest.NewServer(soak.store)
	storeAt := strings.TrimPrefix(soak.server.URL, "http://")
	soak.configure()
	for i := range soak.options.Upstreams {
		upstream, err := startUpstream(ident.UpstreamID(fmt.Sprint("i-", i)), soak.store, &soak.book)
		if err != nil {
			return err
		}
		soak.upstreams = append(soak.upstreams, upstream)
	}
	if err := os.MkdirAll(soak.options.Dir, 0o700); err != nil {
		return err
	}
	ports, err := claimPorts()
	if err != nil {
		return err
	}
	soak.ports = ports
	for i := range soak.options.Routers {
		router, err := newRouter(fmt.Sprintf("router-%d", i), soak.options.Program, soak.options.Dir, storeAt, ports)
		if err != nil {
			return err
		}
		if err := router.start(); err != nil {
			return err
		}
		soak.routers = append(soak.routers, router)
	}
	return nil
}

func (soak *Soak) close() {
	for _, router := range soak.routers {
		router.close()
	}
	for _, upstream := range soak.upstreams {
		upstream.close()
	}
	if soak.ports != nil {
		soak.ports.release()
	}
	if soak.server != nil {
		soak.server.CloseClientConnections()
		soak.server.Close()
	}
}

// configure writes the next configuration, which has a route of its own and no
// longer that of the one before.
func (soak *Soak) configure() {
	soak.mu.Lock()
	version := soak.configured + 1
	soak.mu.Unlock()
	value, err := platform.EncodeConfig(configOf(version))
	if err != nil {
		panic("soak: configuration: " + err.Error())
	}
	soak.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.configured, soak.acceptedAt = version, time.Now()
}

// versionStep is the distance between the versions of two configurations.
const versionStep = 3

// configOf returns the configuration with the number version.
func configOf(version int) routing.Config {
	route := func(name ident.RouteName, prefix string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: callerHost, Prefix: prefix, Kind: kind, Timeout: 2500, Target: 300, Priority: 1, MaxAttempts: attempts,
			Sticky: kind == routing.Stream, MaxGap: 800, Shares: []routing.Share{{Service: poolService, Weight: 1}},
		}
	}
	resume := route("resume", "/resume/", routing.Stream, 2)
	resume.Resumable = true
	probe := route("probe", fmt.Sprintf("/v%d/", version), routing.Idempotent, 2)
	probe.Public = true
	return routing.Config{
		Version: routing.Version(version * versionStep),
		Routes: []routing.Route{
			route("once", "/once/", routing.NonIdempotent, 1), route("again", "/again/", routing.Idempotent, 2),
			route("stream", "/stream/", routing.Stream, 1), resume, probe,
		},
		Services:   []routing.Service{{Name: poolService, MaxConnections: 400}},
		Workspaces: []routing.Workspace{{ID: "t", Keys: []string{apiKey}}},
		Limits:     routing.Limits{HeaderBytes: 16384, BodyBytes: 65536, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

// version returns the newest configuration and when it was accepted.
func (soak *Soak) version() (int, time.Time) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	return soak.configured, soak.acceptedAt
}

func (soak *Soak) count(made *call) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	outcome := "no answer"
	if made.reply.Status != 0 {
		outcome = fmt.Sprint(made.reply.Status)
	}
	if made.reply.Status != 0 && made.reply.Err != nil {
		outcome = "cut"
	}
	soak.report.Requests[made.kind.name+" "+outcome]++
	if outcome == "200" {
		soak.report.Served++
	}
}

func (soak *Soak) promised(attempt ident.AttemptID) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.notRun = append(soak.notRun, attempt)
}

func (soak *Soak) violate(promise, format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Violations = append(soak.report.Violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...), After: time.Since(soak.began)})
}

// disturb notes that something unplanned goes on, and returns what notes its
// end.
func (soak *Soak) disturb(fault string) (heal func()) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Faults[fault]++
	index := len(soak.disturbed)
	soak.disturbed = append(soak.disturbed, span{from: time.Now()})
	return func() {
		soak.mu.Lock()
		defer soak.mu.Unlock()
		soak.disturbed[index].until = time.Now()
	}
}

// planned counts planned work.
func (soak *Soak) planned(name string) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Faults[name]++
}

// calmBetween reports whether nothing unplanned went on between from and until.
func (soak *Soak) calmBetween(from, until time.Time) bool {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	return !slices.ContainsFunc(soak.disturbed, func(span span) bool {
		return span.from.Before(until) && (span.until.IsZero() || span.until.After(from))
	})
}

// checkRecovery wants every router to run and to serve once all is healed.
func (soak *Soak) checkRecovery() {
	const requests = 5
	for _, router := range soak.routers {
		if router.crashed() {
			soak.violate("ended by itself", "%s: %v", router.name, router.err)
			continue
		}
		client := &http.Client{Transport: &http.Transport{}}
		for n := range requests {
			made := &call{kind: kinds[1], attempt: ident.AttemptID(fmt.Sprintf("last-%s-%d", router.name, n)), router: router, sentAt: time.Now()}
			made.perform(context.Background(), client, n)
			if made.reply.Status != http.StatusOK {
				soak.violate("no recovery", "%s answered %d (%v) to %s", router.name, made.reply.Status, made.reply.Err, made.attempt)
			}
		}
		client.CloseIdleConnections()
	}
}

// balancer asks the routers whether they take callers.
type balancer struct {
	routers []*router
	done    chan struct{}
}

func (balancer *balancer) run(ctx context.Context) {
	defer close(balancer.done)
	for ctx.Err() == nil {
		var asking sync.WaitGroup
		for _, router := range balancer.routers {
			asking.Go(func() { router.probe(ctx) })
		}
		asking.Wait()
		time.Sleep(probeEvery)
	}
}
