package capacity_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/caller"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

func TestMain(m *testing.M) {
	status := m.Run()
	fleettest.Clean()
	os.Exit(status)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192}}

// endpoint describes where, and for how many tokens, answers are requested.
type endpoint struct {
	// address is the address on which a router serves callers or, if direct is
	// set, the address of an engine.
	address string
	direct  bool
	// route is the model's route; empty means the draft route, which every fleet
	// has.
	route string
	// tokens is the length of each answer.
	tokens ident.Tokens
}

// request returns the request with the given number. The number is the seed of
// the answer, so equal numbers produce equal answers.
func (endpoint endpoint) request(ctx context.Context, number int) (*http.Request, error) {
	prompt := upstream.Prompt{Text: "Header copy for the end gondola of aisle twelve", MaxTokens: endpoint.tokens, Seed: uint64(number)}
	route := cmp.Or(endpoint.route, "draft")
	url, body := "http://"+endpoint.address+"/v1/teams/"+string(fleettest.Team)+"/routes/"+route+"/requests", any(prompt)
	if endpoint.direct {
		url = "http://" + endpoint.address + "/v1/generate"
		body = upstream.Generate{Request: ident.NewAttemptID(), Model: fleettest.Model, Prompt: prompt}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(caller.HeaderWorkspace, string(fleettest.Workspace))
	return request, nil
}

// latencies collects the times to the first token and between tokens, in
// microseconds. Its record method may be called concurrently.
type latencies struct {
	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{firstToken: hdrhistogram.New(1, 60_000_000, 3), betweenTokens: hdrhistogram.New(1, 60_000_000, 3)}
}

func (latencies *latencies) record(histogram *hdrhistogram.Histogram, elapsed time.Duration) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	_ = histogram.RecordValue(max(1, elapsed.Microseconds()))
}

// readAnswer requests one answer, reads it to its end and records its latencies.
// It returns an error if the answer is incomplete.
func (endpoint endpoint) readAnswer(ctx context.Context, number int, latencies *latencies) error {
	request, err := endpoint.request(ctx, number)
	if err != nil {
		return err
	}
	previous := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	histogram, received, ended := latencies.firstToken, 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case endpoint.isEnd(line):
			ended = true
		case endpoint.isToken(line):
			now := time.Now()
			latencies.record(histogram, now.Sub(previous))
			histogram, previous = latencies.betweenTokens, now
			received++
		}
	}
	if !ended || received != int(endpoint.tokens) {
		return fmt.Errorf("request %d to %s: status %d, got %d of %d tokens, end received: %t, read error: %v", number, endpoint.address, response.StatusCode, received, endpoint.tokens, ended, scanner.Err())
	}
	return nil
}

func (endpoint endpoint) isEnd(line string) bool {
	if endpoint.direct {
		return strings.Contains(line, `"Done":true`)
	}
	return line == "event: "+caller.EventEnd
}

func (endpoint endpoint) isToken(line string) bool {
	if endpoint.direct {
		return line != ""
	}
	return strings.HasPrefix(line, `data: "`)
}

// workload reads answers on a number of concurrent streams. Each stream reads
// rounds answers sequentially. The starts of the streams are spread evenly over
// rampUp.
type workload struct {
	endpoint  endpoint
	streams   int
	rounds    int
	rampUp    time.Duration
	latencies *latencies
}

func (workload workload) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for stream := range workload.streams {
		group.Go(func() error {
			time.Sleep(workload.rampUp * time.Duration(stream) / time.Duration(workload.streams))
			for round := range workload.rounds {
				if err := workload.endpoint.readAnswer(ctx, stream*workload.rounds+round, workload.latencies); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}
