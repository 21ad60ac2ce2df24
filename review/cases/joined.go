package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/review/stage"
)

const (
	// joinedTime bounds the traffic of the case, and joinedRunners and joinedRouters are the sizes
	// of a small deployment.
	joinedTime    = 95 * time.Second
	joinedRunners = 18
	joinedRouters = 6
	// streamsPerSecond is the rate of all consumers together.
	streamsPerSecond = 60
	// crashing is how many runners crash at a time, each roundTime; they are back after downTime,
	// and crash once more after upTime.
	crashing  = 3
	roundTime = 1500 * time.Millisecond
	downTime  = 150 * time.Millisecond
	upTime    = 150 * time.Millisecond
	askPath   = "/ask/1"
)

func askConfig() stage.Config {
	return stage.Config{
		Version:  7,
		Routes:   []stage.Route{{Name: "r-ask", Host: "site.example", Prefix: "/ask/", RouteType: "streaming", TimeoutMs: 10000, TargetMs: 600, Service: "model", MaxAttempts: 2, StickySessions: true, ResumeStreams: true}},
		Services: []stage.Service{{Name: "model", HealthPath: "/healthz", MaxConnections: 370}},
		Limits:   stage.Limits(),
		Tenants:  []stage.Tenant{{Name: "hule930", APIKeys: []string{key}}},
	}
}

// asking sends streams, and counts what became of them.
type asking struct {
	scene   *stage.Stage
	routers []*stage.Router
	next    atomic.Int64
	whole   atomic.Int64
	cut     atomic.Int64
	refused atomic.Int64
	joined  atomic.Int64
	pending sync.WaitGroup
}

// stream is one stream of a consumer.
type stream struct {
	asking *asking
	router *stage.Router
}

// run sends the request on a new channel and checks which versions made the events.
func (stream *stream) run() {
	asking := stream.asking
	defer asking.pending.Done()
	client, err := stage.Dial(stream.router.Front)
	if err != nil {
		asking.refused.Add(1)
		return
	}
	defer client.Close()
	number := asking.next.Add(1)
	attempt := fmt.Sprintf("%016x", 0x6000000000000000+number)
	request := stage.Head("POST", askPath, attempt, key, 10000) +
		fmt.Sprintf("Hickoryhead-Model: m\r\nHickoryhead-Token-Usage: 829,300\r\nHickoryhead-Prompt-Prefix: 7%07x:699,8%07x:130\r\nContent-Length: 2\r\n\r\nhi", rand.IntN(60), number)
	if client.Send(request) != nil {
		asking.refused.Add(1)
		return
	}
	response, body, err := client.Receive(12 * time.Second)
	switch {
	case response == nil || response.StatusCode != http.StatusOK:
		asking.refused.Add(1)
		return
	case err != nil:
		asking.cut.Add(1)
	default:
		asking.whole.Add(1)
	}
	var versions []string
	for line := range strings.Lines(string(body)) {
		made, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if found && (len(versions) == 0 || versions[len(versions)-1] != made) {
			versions = append(versions, made)
		}
	}
	for _, made := range versions {
		if strings.Fields(made)[0] != strings.Fields(versions[0])[0] {
			asking.joined.Add(1)
			asking.scene.Record("JOINED %s: one answer, complete %t, has events that were made by %s", attempt, err == nil, strings.Join(versions, ", then "))
			return
		}
	}
}

// restarts crashes runners, which come back with the next version.
type restarts struct {
	scene   *stage.Stage
	runners []*stage.Versioned
	stop    <-chan struct{}
	done    chan struct{}
}

func (restarts *restarts) run() {
	defer close(restarts.done)
	for round := 0; ; round++ {
		select {
		case <-restarts.stop:
			return
		case <-time.After(roundTime - 2*downTime - upTime):
		}
		version := 2 + round*crashing/joinedRunners
		var chosen []*stage.Versioned
		for i := range crashing {
			chosen = append(chosen, restarts.runners[(round*crashing+i)%joinedRunners])
		}
		restarts.scene.Record("runners %s to %s crash, are back %v later with v%d, and crash once more %v later", chosen[0].ID, chosen[crashing-1].ID, downTime, version, upTime)
		for range 2 {
			crashAll(chosen)
			time.Sleep(downTime)
			for _, runner := range chosen {
				if err := runner.Start(version); err != nil {
					restarts.scene.Record("runner %s does not start: %v", runner.ID, err)
				}
			}
			time.Sleep(upTime)
		}
	}
}

func crashAll(runners []*stage.Versioned) {
	for _, runner := range runners {
		runner.Crash()
	}
}

// joined lets runners crash and start again with another version of their software.
func joined(record string, trouble bool) (int, error) {
	scene, err := stage.Open(record)
	if err != nil {
		return failed, err
	}
	defer scene.Close()
	if err := scene.PutConfig(askConfig()); err != nil {
		return failed, err
	}
	var runners []*stage.Versioned
	for i := range joinedRunners {
		runner, err := scene.StartVersioned(fmt.Sprintf("i-model-%02d", i), "model", 1)
		if err != nil {
			return failed, err
		}
		runners = append(runners, runner)
	}
	asking := &asking{scene: scene}
	for i := range joinedRouters {
		router, err := scene.StartRouter(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return failed, err
		}
		asking.routers = append(asking.routers, router)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	crashes := &restarts{scene: scene, runners: runners, stop: stop, done: make(chan struct{})}
	if trouble {
		go crashes.run()
	} else {
		close(crashes.done)
	}
	end := time.Now().Add(joinedTime)
	for time.Now().Before(end) && asking.joined.Load() == 0 {
		asking.pending.Add(1)
		stream := &stream{asking: asking, router: asking.routers[rand.IntN(joinedRouters)]}
		go stream.run()
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / streamsPerSecond))
	}
	close(stop)
	<-crashes.done
	asking.pending.Wait()
	scene.Record("%d streams: %d whole, %d cut, %d refused or failed, %d joined from two versions",
		asking.next.Load(), asking.whole.Load(), asking.cut.Load(), asking.refused.Load(), asking.joined.Load())
	if asking.joined.Load() > 0 {
		scene.Record("ORDER broken")
		return broken, nil
	}
	scene.Record("ORDER held")
	return held, nil
}
