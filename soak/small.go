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
	// counted is how many calls an upstream could have served, and lost describes those of
	// them that were not served.
	counted int
	lost    []string
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
			upstream, err := startUpstream(ident.UpstreamID(fmt.Sprintf("%s-%d", service.name, n)), service.name, "", softwareVersions[0], soak)
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
	for n := range crasher.random.IntN(maxBefore) {
		router := service.soak.openRouter(crasher.random)
		if router == nil {
			continue
		}
		call := &call{kind: kind, attempt: ident.AttemptID(fmt.Sprintf("before %s-%d", request.name, n)), router: router}
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
	for n := 0; ctx.Err() == nil; n++ {
		if router := caller.service.soak.openRouter(caller.random); router != nil {
			caller.send(ctx, client, router, n)
		}
		time.Sleep(time.Duration(caller.random.Int64N(int64(callerPause))))
	}
}

// send sends the nth request to a router, and checks and counts the answer.
func (caller *smallCaller) send(ctx context.Context, client *http.Client, router *router, n int) {
	service := caller.service
	path := smallPath(service.name)
	call := &call{
		kind:    kind{name: string(service.name) + " sound", method: http.MethodPost, path: path + "sound", atMostOnce: true},
		attempt: ident.AttemptID(fmt.Sprintf("%s-sound-%d", service.name, n)),
		router:  router,
		earlier: router.earlier(),
	}
	body := "body of " + string(call.attempt)
	if n%2 == 0 {
		call.kind = kind{name: string(service.name) + " same", method: http.MethodGet, path: path + "again/same"}
		body = ""
	}
	call.sentAt = time.Now()
	call.perform(context.WithoutCancel(ctx), client, 0, body)
	service.soak.check(call)
	service.count(call)
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
		service.lost = append(service.lost, fmt.Sprintf("%s at %s: %d", call.attempt, call.sentAt.Format(time.StampMilli), call.reply.Status))
	}
}

// check checks that few of the calls were lost that an upstream could have served.
func (service *smallService) check() {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.counted >= minSmallCalls && float64(len(service.lost)) > maxSmallLost*float64(service.counted) {
		service.soak.violate("small service not served", "%d of %d calls of %s were lost while an upstream was up: %q", len(service.lost), service.counted, service.name, service.lost)
	}
}

// upSince reports whether the upstream has been up since a time.
func (upstream *upstream) upSince(since time.Time) bool {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return !upstream.servesFrom.IsZero() && upstream.servesFrom.Before(since)
}
