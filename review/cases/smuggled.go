package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/review/stage"
)

// runs records the attempts that runners ran.
type runs struct {
	mu       sync.Mutex
	attempts []string
}

func (runs *runs) add(attempt string) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.attempts = append(runs.attempts, attempt)
}

func (runs *runs) count(attempt string) int {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	count := 0
	for _, ran := range runs.attempts {
		if ran == attempt {
			count++
		}
	}
	return count
}

const (
	key         = "n2ctnfzs989anu6wsjnb"
	answerTime  = 2 * time.Second
	hiddenID    = "badbadbadbadbad0"
	outerID     = "9c41d07be2a35f02"
	firstID     = "9c41d07be2a35f01"
	lastID      = "9c41d07be2a35f03"
	confirmPath = "/confirm/1"
)

// confirmConfig is a configuration with one route that is not idempotent.
func confirmConfig() stage.Config {
	return stage.Config{
		Version:  7,
		Routes:   []stage.Route{{Name: "r-confirm", Host: "site.example", Prefix: "/confirm/", RouteType: "non_idempotent", TimeoutMs: 3000, TargetMs: 300, Priority: 2, Service: "desk", MaxAttempts: 1}},
		Services: []stage.Service{{Name: "desk", HealthPath: "/healthz", MaxConnections: 100}},
		Limits:   stage.Limits(),
		Tenants:  []stage.Tenant{{Name: "hule930", APIKeys: []string{key}}},
	}
}

// smuggled sends a request inside the body of another one.
func smuggled(record string, trouble bool) (int, error) {
	scene, err := stage.Open(record)
	if err != nil {
		return failed, err
	}
	defer scene.Close()
	if err := scene.PutConfig(confirmConfig()); err != nil {
		return failed, err
	}
	var ran runs
	for i := range 3 {
		id := fmt.Sprintf("i-desk-%d", i)
		runner := &stage.Runner{ID: id, Service: "desk", Slots: 6, OnRun: func(request *http.Request, body []byte) int {
			attempt := request.Header.Get("Hickoryhead-Attempt-Id")
			ran.add(attempt)
			scene.Record("runner %s runs %s: %s %s, tenant %s, %d body bytes", id, attempt, request.Method, request.RequestURI, request.Header.Get("Hickoryhead-Tenant"), len(body))
			return http.StatusOK
		}}
		if err := scene.StartRunner(runner); err != nil {
			return failed, err
		}
	}
	router, err := scene.StartRouter("edge-1")
	if err != nil {
		return failed, err
	}
	client, err := stage.Dial(router.Front)
	if err != nil {
		return failed, err
	}
	defer client.Close()
	if err := exchangeSmuggled(scene, client, trouble); err != nil {
		return failed, err
	}
	time.Sleep(500 * time.Millisecond)
	for _, attempt := range []string{firstID, outerID, hiddenID} {
		scene.Record("%s ran %d times", attempt, ran.count(attempt))
	}
	if ran.count(hiddenID) > 0 {
		scene.Record("UNASKED broken: a runner ran %s, which lay in the body of %s", hiddenID, outerID)
		return broken, nil
	}
	scene.Record("UNASKED held")
	return held, nil
}

// exchangeSmuggled sends the requests on one channel.
func exchangeSmuggled(scene *stage.Stage, client *stage.Client, trouble bool) error {
	hidden := stage.Head("POST", confirmPath, hiddenID, key, 3000) + "Content-Length: 0\r\n\r\n"
	body := "0\r\n\r\n" + hidden
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if trouble {
		framing += "Transfer-Encoding: chunked\r\n"
	}
	outer := stage.Head("POST", confirmPath, outerID, key, 3000) + framing + "\r\n" + body
	folded := "Content-Length: 0\r\n"
	if trouble {
		// A header value over two lines. The scanner of the router reads the second line as a
		// header of its own and takes the next request for the body.
		folded = fmt.Sprintf("X-Note: the crew of the\r\n Content-Length: %d\r\n", len(outer))
	}
	first := stage.Head("POST", confirmPath, firstID, key, 3000) + folded + "\r\n"
	for _, request := range []string{first, outer} {
		scene.Record("consumer sends %q", request)
		if err := client.Send(request); err != nil {
			return err
		}
		response, answer, err := client.Receive(answerTime)
		if err != nil {
			scene.Record("no answer: %v", err)
			return nil
		}
		scene.Record("consumer gets %d for %s: %q", response.StatusCode, response.Header.Get("Hickoryhead-Attempt-Id"), answer)
	}
	if response, answer, err := client.Receive(answerTime); err == nil {
		scene.Record("consumer gets an answer that it hasn't asked for: %d for %s: %q", response.StatusCode, response.Header.Get("Hickoryhead-Attempt-Id"), answer)
	}
	return nil
}
