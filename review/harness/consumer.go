package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestCount is the number of requests that were sent by all consumers.
var requestCount atomic.Int64

// consumers send requests at a steady rate, each to the next router in turn and on a
// channel of its own.
type consumers struct {
	routers []*router
	journal *journal
	// name begins the ids of their requests.
	name     string
	path     string
	key      string
	deadline time.Duration
	pause    time.Duration

	running sync.WaitGroup
	stop    context.CancelFunc
	stopped chan struct{}
}

// start begins to send.
func (consumers *consumers) start() {
	ctx, stop := context.WithCancel(context.Background())
	consumers.stop, consumers.stopped = stop, make(chan struct{})
	go consumers.run(ctx)
}

// finish sends no more and waits for the answers.
func (consumers *consumers) finish() {
	consumers.stop()
	<-consumers.stopped
}

// run sends a request each pause until ctx ends, and waits for the answers.
func (consumers *consumers) run(ctx context.Context) {
	defer close(consumers.stopped)
	ticker := time.NewTicker(consumers.pause)
	defer ticker.Stop()
	defer consumers.running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			number := requestCount.Add(1)
			consumers.running.Add(1)
			go func() {
				defer consumers.running.Done()
				consumers.send(number)
			}()
		}
	}
}

// send sends one request on a channel of its own.
func (consumers *consumers) send(number int64) {
	router := consumers.routers[int(number)%len(consumers.routers)]
	got := answer{sent: time.Now(), attempt: fmt.Sprintf("%s-%06x", consumers.name, number), router: router.name, key: consumers.key}
	got.status, got.body, got.err = consumers.exchange(router, got.attempt)
	got.at = time.Now()
	consumers.journal.answered(got)
}

func (consumers *consumers) exchange(router *router, attempt string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), consumers.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.front+consumers.path, strings.NewReader("print 12 headers"))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Hickoryhead-Attempt-Id", attempt)
	request.Header.Set("Hickoryhead-Deadline-Ms", fmt.Sprint(consumers.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+consumers.key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}
