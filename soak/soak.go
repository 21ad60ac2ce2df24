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
	"github.com/hickoryhead/hickoryhead/standin"
)

// Options configure a soak.
type Options struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Length is the time for which faults are injected.
	Length time.Duration
	// Routers is the number of router processes, and Upstreams and Callers are
	// the numbers of simulated upstreams and callers.
	Routers   int
	Upstreams int
	Callers   int
	// Program is the path of the hickoryhead executable.
	Program string
	// Previous, if set, is the path of the executable of an earlier program, which all
	// routers run at first. They are stopped as planned and started with Program one
	// after the other.
	Previous string
	// Dir is the directory for the logs and settings of the processes. Run
	// creates it.
	Dir string
}

// Violation is a broken guarantee.
type Violation struct {
	Promise string
	Detail  string
	// After is the time since the start of the soak.
	After time.Duration
}

// Report is the result of a soak.
type Report struct {
	Seed uint64
	// Requests counts the requests by kind and outcome, and Served those with
	// status 200 and a complete body.
	Requests map[string]int
	Served   int
	// Faults counts the injected faults and the planned work by name.
	Faults     map[string]int
	Violations []Violation
}

// Soak is a running soak. Run creates it.
type Soak struct {
	options   Options
	store     *standin.Platform
	server    *httptest.Server
	runLog    runLog
	routers   []*router
	upstreams []*upstream
	small     []*smallService
	other     *upstream
	ports     *portBlock
	startedAt time.Time

	mu            sync.Mutex
	report        Report
	notRun        []ident.AttemptID
	configVersion int
	configValue   []byte
	acceptedAt    time.Time
	// variant is what distinguishes the configuration from those before, apart from its
	// version. configuring is held while the operator writes a configuration.
	variant     variant
	configuring sync.Mutex
	// copies are the latest copies of the store, the oldest first, and restoredAt is
	// when it was last restored from one.
	copies     []standin.PlatformCopy
	restoredAt time.Time
	// disturbances holds the spans in which faults were active. The span of an
	// active fault has no end.
	disturbances []span
	// restarts are the upstreams that a request ended.
	restarts sync.WaitGroup
	// takeUps counts the take-ups that had to continue, and senders holds the router of
	// each attempt.
	takeUps takeUps
	senders map[ident.AttemptID]sender
	endless []endlessSpan
	// evacuated is set while evacuatedZone is evacuated.
	evacuated bool
}

// span is a time span. While it lasts, until is zero.
type span struct {
	from  time.Time
	until time.Time
	// byUpstream is set if the span is the doing of an upstream alone: all other
	// processes and links are sound.
	byUpstream bool
	// routers are those whose processes the fault ends or stops, and starved is set if the
	// fault only leaves them little processor time.
	routers []*router
	starved bool
}

// warmUpTime is the time between the start of the processes and the first fault.
// recoveryTime is the time between the end of the last fault and the final checks.
const (
	warmUpTime   = 2 * time.Second
	recoveryTime = 5 * time.Second
)

// Run runs a soak and returns its report. It returns an error if the soak could not
// be set up; broken guarantees are only reported. When ctx ends, it injects no more
// faults and finishes as usual.
func Run(ctx context.Context, options Options) (Report, error) {
	soak := &Soak{options: options, store: new(standin.Platform), startedAt: time.Now(), variant: firstVariant(options.Seed)}
	soak.report = Report{Seed: options.Seed, Requests: make(map[string]int), Faults: make(map[string]int)}
	defer soak.close()
	if err := soak.build(); err != nil {
		return soak.report, err
	}
	balancerCtx, stopBalancer := context.WithCancel(context.Background())
	balancer := &balancer{routers: soak.routers, done: make(chan struct{})}
	go balancer.run(balancerCtx)
	soak.keepCopy()
	time.Sleep(warmUpTime)
	callerCtx, stopCallers := context.WithCancel(context.Background())
	var done []chan struct{}
	for number := range options.Callers {
		caller := &caller{soak: soak, number: number, random: rand.New(rand.NewPCG(options.Seed, uint64(number)+1)), done: make(chan struct{})}
		done = append(done, caller.done)
		go caller.run(callerCtx)
	}
	for number := range keptPerCaller * options.Callers {
		caller := newKeptCaller(soak, number)
		done = append(done, caller.done)
		go caller.run(callerCtx)
	}
	for number, parts := range []bool{false, true} {
		random := rand.New(rand.NewPCG(options.Seed, uint64(options.Callers+number)+1))
		crasher := &crasher{soak: soak, random: random, parts: parts, done: make(chan struct{})}
		done = append(done, crasher.done)
		go crasher.run(callerCtx)
	}
	for number, service := range soak.small {
		seed := uint64(options.Callers+2+2*number) + 1
		crasher := service.newCrasher(rand.New(rand.NewPCG(options.Seed, seed)))
		caller := &smallCaller{service: service, random: rand.New(rand.NewPCG(options.Seed, seed+1)), done: make(chan struct{})}
		done = append(done, crasher.done, caller.done)
		go crasher.run(callerCtx)
		go caller.run(callerCtx)
	}
	copier := &storeCopier{soak: soak, done: make(chan struct{})}
	done = append(done, copier.done)
	go copier.run(callerCtx)
	crowds := newCrowds(soak)
	done = append(done, crowds.done)
	go crowds.run(callerCtx)
	prober := &prober{soak: soak, done: make(chan struct{}), served: make(map[string]int)}
	done = append(done, prober.done)
	go prober.run(callerCtx)

	schedule := newSchedule(soak)
	upgrade := &upgrade{schedule: schedule, done: make(chan struct{})}
	go upgrade.run(ctx)
	schedule.play(ctx)
	<-upgrade.done
	time.Sleep(recoveryTime)
	stopCallers()
	for _, finished := range done {
		<-finished
	}
	soak.restarts.Wait()
	// The upstreams that were restarted last are cold, and may all be at their rates.
	time.Sleep(coldRule.Start + rowTime)
	stopBalancer()
	<-balancer.done
	soak.checkNotRun()
	soak.checkEndless()
	soak.checkRegistered()
	soak.checkPanics()
	soak.checkTakeUps()
	soak.checkCold()
	for _, service := range soak.small {
		service.check()
	}
	soak.checkRecovery()
	return soak.report, nil
}

func (soak *Soak) build() error {
	soak.server = httptest.NewServer(soak.store)
	storeAt := strings.TrimPrefix(soak.server.URL, "http://")
	soak.configure()
	for i := range soak.options.Upstreams {
		upstream, err := startUpstream(ident.UpstreamID(fmt.Sprint("i-", i)), poolService, zoneOf(i), softwareVersions[i%2], soak)
		if err != nil {
			return err
		}
		soak.upstreams = append(soak.upstreams, upstream)
	}
	if err := soak.startSmallServices(); err != nil {
		return err
	}
	other, err := startUpstream("other-0", otherService, "", softwareVersions[0], soak)
	if err != nil {
		return err
	}
	soak.other = other
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
		router.previous = soak.options.Previous
		if router.previous == "" {
			// An earlier program refuses settings that it doesn't know.
			router.settings.ColdOverage, router.settings.ColdSlack = coldRule.Overage, coldRule.Slack
			router.settings.HeartbeatMs = ident.Milliseconds(standin.RunnerHeartbeatInterval.Milliseconds())
			if err := router.writeSettings(); err != nil {
				return err
			}
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
	for _, service := range soak.small {
		for _, upstream := range service.upstreams {
			upstream.close()
		}
	}
	if soak.other != nil {
		soak.other.close()
	}
	if soak.ports != nil {
		soak.ports.release()
	}
	if soak.server != nil {
		soak.server.CloseClientConnections()
		soak.server.Close()
	}
}

// version returns the number of the newest configuration and when it was accepted.
func (soak *Soak) version() (int, time.Time) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	return soak.configVersion, soak.acceptedAt
}

func (soak *Soak) count(call *call) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	outcome := "no answer"
	if call.reply.Status != 0 {
		outcome = fmt.Sprint(call.reply.Status)
	}
	if call.reply.Status != 0 && call.reply.Err != nil {
		outcome = "cut"
	}
	soak.report.Requests[call.kind.name+" "+outcome]++
	if outcome == "200" {
		soak.report.Served++
	}
}

// countOutcome counts a request in the report.
func (soak *Soak) countOutcome(outcome string) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Requests[outcome]++
}

func (soak *Soak) recordNotRun(attempt ident.AttemptID) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.notRun = append(soak.notRun, attempt)
}

func (soak *Soak) violate(promise, format string, args ...any) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Violations = append(soak.report.Violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...), After: time.Since(soak.startedAt)})
}

// beginDisturbance counts a fault and records its start. The returned function
// records its end.
func (soak *Soak) beginDisturbance(fault string) (heal func()) {
	return soak.begin(fault, span{from: time.Now()})
}

// beginBreak is beginDisturbance for what an upstream does.
func (soak *Soak) beginBreak(fault string) (heal func()) {
	return soak.begin(fault, span{from: time.Now(), byUpstream: true})
}

// beginRouterFault is beginDisturbance for what ends or stops the processes of routers.
func (soak *Soak) beginRouterFault(fault string, routers ...*router) (heal func()) {
	return soak.begin(fault, span{from: time.Now(), routers: routers})
}

func (soak *Soak) begin(fault string, span span) (heal func()) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Faults[fault]++
	index := len(soak.disturbances)
	soak.disturbances = append(soak.disturbances, span)
	return func() {
		soak.mu.Lock()
		defer soak.mu.Unlock()
		soak.disturbances[index].until = time.Now()
	}
}

// countPlanned counts planned work, which excuses no broken guarantee.
func (soak *Soak) countPlanned(name string) {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.report.Faults[name]++
}

// undisturbed reports whether no fault was active between from and until.
func (soak *Soak) undisturbed(from, until time.Time) bool {
	return !soak.anySpan(from, until, func(span) bool { return true })
}

// inTouch reports whether no fault was active between from and until but those of
// upstreams alone.
func (soak *Soak) inTouch(from, until time.Time) bool {
	return !soak.anySpan(from, until, func(span span) bool { return !span.byUpstream })
}

// mayLose reports whether a fault between from and until may cost a request at a router its
// answer. Little processor time may not. Until the request is forwarded, only an end or a stop
// of the router's own process may.
func (soak *Soak) mayLose(router *router, forwarded bool, from, until time.Time) bool {
	return soak.anySpan(from, until, func(span span) bool {
		return !span.starved && (forwarded || slices.Contains(span.routers, router))
	})
}

// anySpan reports whether a span that counts overlaps the time between from and
// until.
func (soak *Soak) anySpan(from, until time.Time, counts func(span span) bool) bool {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	return slices.ContainsFunc(soak.disturbances, func(span span) bool {
		return counts(span) && span.from.Before(until) && (span.until.IsZero() || span.until.After(from))
	})
}

// checkRecovery checks that every router runs and answers requests after all faults
// have been undone.
func (soak *Soak) checkRecovery() {
	const requests = 5
	for _, router := range soak.routers {
		if router.crashed() {
			soak.violate("ended by itself", "%s: %v", router.name, router.err)
			continue
		}
		client := &http.Client{Transport: &http.Transport{}}
		for n := range requests {
			call := &call{kind: kinds[1], attempt: ident.AttemptID(fmt.Sprintf("last-%s-%d", router.name, n)), router: router, sentAt: time.Now()}
			call.perform(context.Background(), client, n, "")
			if call.reply.Status != http.StatusOK {
				soak.violate("no recovery", "%s answered with status %d (%v) to %s", router.name, call.reply.Status, call.reply.Err, call.attempt)
			}
		}
		client.CloseIdleConnections()
	}
}

// balancer probes the readiness of the routers, as a load balancer does.
type balancer struct {
	routers []*router
	done    chan struct{}
}

func (balancer *balancer) run(ctx context.Context) {
	defer close(balancer.done)
	for ctx.Err() == nil {
		var probes sync.WaitGroup
		for _, router := range balancer.routers {
			probes.Go(func() { router.probe(ctx) })
		}
		probes.Wait()
		time.Sleep(readyProbeInterval)
	}
}
