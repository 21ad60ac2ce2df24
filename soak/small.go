package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// maxSmallService is the number of upstreams of the largest small service; there is one
	// service of each size up to it.
	maxSmallService = 3
	// maxBefore is how often a request may succeed before it ends upstreams.
	maxBefore = 12
	// upTime is how long an upstream has to be up before routers have to send it requests.
	upTime = time.Second
	// minSmallCalls is the number of calls from which on their share is checked that was
	// lost while an upstream was up, and maxSmallLost that share.
	minSmallCalls = 50
	maxSmallLost  = 0.05
)

// smallPauses are the upper bounds of the random pause between two repeats of a request that
// ends upstreams of small services.
var smallPauses = []time.Duration{40 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}

// smallService is a service with few upstreams, which requests end.
type smallService struct {
	soak      *Soak
	name      ident.ServiceName
	upstreams []*upstream

	mu sync.Mutex
	// counted are the calls that an upstream could have served, and lost those of them
	// that were not served.
	counted int
	lost    int
	// lostCalls describes the lost ones.
	lostCalls []string
}

func smallServiceName(size int) ident.ServiceName {
	return ident.ServiceName(fmt.Sprint("small", size))
}

// smallPath returns the path of the requests to a service.
func smallPath(service ident.ServiceName) string { return "/" + string(service) + "/" }

// smallRoutes returns the routes to the small services.
func smallRoutes(route func(name ident.RouteName, prefix string, kind routing.Kind, attempts int) routing.Route) []routing.Route {
	var routes []routing.Route
	for size := range maxSmallService {
		service := smallServiceName(size + 1)
		once := route(ident.RouteName(service), smallPath(service), routing.NonIdempotent, 1)
		again := route(ident.RouteName(service)+"-again", smallPath(service)+"again/", routing.Idempotent, maxAttempts)
		once.Shares[0].Service, again.Shares[0].Service = service, service
		routes = append(routes, once, again)
	}
	return routes
}

// startSmallServices starts the upstreams of the small services.
func (soak *Soak) startSmallServices() error {
	for size := range maxSmallService {
		service := &smallService{soak: soak, name: smallServiceName(size + 1)}
		for n := range size + 1 {
			upstream, err := startUpstream(ident.UpstreamID(fmt.Sprintf("%s-%d", service.name, n)), service.name, softwareVersions[0], soak)
			if err != nil {
				return err
			}
			service.upstreams = append(service.upstreams, upstream)
		}
		soak.small = append(soak.small, service)
	}
	return nil
}

// newCrasher returns a crasher of the service's upstreams.
func (service *smallService) newCrasher(random *rand.Rand) *crasher {
	return &crasher{soak: service.soak, random: random, small: service, done: make(chan struct{})}
}

// newCrashRequest returns a request that ends the service's upstreams, which has succeeded
// some times before.
func (service *smallService) newCrashRequest(crasher *crasher, number int) *crashRequest {
	prefix := smallPath(service.name)
	if crasher.random.IntN(2) == 0 {
		prefix += "again/"
	}
	kind := kind{name: string(service.name), method: http.MethodGet, path: fmt.Sprint(prefix, number)}
	request := &crashRequest{
		crasher: crasher, kind: kind, name: fmt.Sprintf("%s %s %d", crashMarker, service.name, number), crashes: standin.MaxCrashes,
		bare: true, pause: smallPauses[crasher.random.IntN(len(smallPauses))],
	}
	before := crasher.random.IntN(maxBefore)
	for n := range before {
		call := &call{kind: kind, attempt: ident.AttemptID(fmt.Sprintf("before %s-%d", request.name, n)), router: service.soak.anyRouter(crasher.random)}
		call.perform(context.Background(), new(http.Client), 0, "")
	}
	return request
}

// smallCaller sends sound requests to a small service.
type smallCaller struct {
	service *smallService
	random  *rand.Rand
	done    chan struct{}
}

func (caller *smallCaller) run(ctx context.Context) {
	defer close(caller.done)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	path := smallPath(caller.service.name)
	for n := 0; ctx.Err() == nil; n++ {
		call := &call{
			kind:    kind{name: string(caller.service.name) + " sound", method: http.MethodPost, path: path + "sound", atMostOnce: true},
			attempt: ident.AttemptID(fmt.Sprintf("%s-sound-%d", caller.service.name, n)),
			router:  caller.service.soak.anyRouter(caller.random),
		}
		if n%2 == 0 {
			call.kind = kind{name: string(caller.service.name) + " same", method: http.MethodGet, path: path + "again/same"}
		}
		call.sentAt = time.Now()
		body := ""
		if call.kind.atMostOnce {
			body = "body of " + string(call.attempt)
		}
		call.earlier = call.router.earlier()
		call.perform(context.WithoutCancel(ctx), client, 0, body)
		caller.service.soak.check(call)
		caller.service.count(call)
		time.Sleep(time.Duration(caller.random.Int64N(int64(callerPause))))
	}
}

// anyRouter returns a random router, one in rotation if one of a few is.
func (soak *Soak) anyRouter(random *rand.Rand) *router {
	router := soak.routers[random.IntN(len(soak.routers))]
	for range soak.routers {
		if router.inRotation() {
			break
		}
		router = soak.routers[random.IntN(len(soak.routers))]
	}
	return router
}

// count counts a call that could have been served: its router answered, no other fault was
// active, and an upstream was up all the while, its own one if it has run.
func (service *smallService) count(call *call) {
	soak := service.soak
	if call.reply.Status == 0 || call.earlier || !soak.inTouch(call.sentAt.Add(-standin.ContactTime), call.endedAt) {
		return
	}
	runs := soak.runLog.runsOf(call.attempt)
	up := 0
	for _, upstream := range service.upstreams {
		if upstream.upSince(call.sentAt.Add(-upTime)) {
			up++
			continue
		}
		for _, run := range runs {
			if run.upstream == upstream.runner.ID {
				return
			}
		}
	}
	if up == 0 {
		return
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.counted++
	if call.reply.Status != http.StatusOK || call.reply.Err != nil {
		service.lost++
		service.lostCalls = append(service.lostCalls, fmt.Sprintf("%s at %s: %d", call.attempt, call.sentAt.Format(time.StampMilli), call.reply.Status))
	}
}

// check checks that few of the calls were lost that an upstream could have served.
func (service *smallService) check() {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.counted >= minSmallCalls && float64(service.lost) > maxSmallLost*float64(service.counted) {
		service.soak.violate("small service not served", "%d of %d calls of %s were lost while an upstream was up: %q", service.lost, service.counted, service.name, service.lostCalls)
	}
}

// upSince reports whether the upstream has been up since a time.
func (upstream *upstream) upSince(since time.Time) bool {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return !upstream.servesFrom.IsZero() && upstream.servesFrom.Before(since)
}
