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

// source is where a stream of tokens is asked for.
type source struct {
	// address is that of a router's callers, or of an engine where direct is
	// set.
	address string
	direct  bool
	// route is the model's route; empty means that of every fleet.
	route string
	// tokens is the length of an answer.
	tokens ident.Tokens
}

// request returns the request with the given number. The same number always
// gives the same answer.
func (source source) request(ctx context.Context, number int) (*http.Request, error) {
	prompt := upstream.Prompt{Text: "Header copy for the end gondola of aisle twelve", MaxTokens: source.tokens, Seed: uint64(number)}
	route := cmp.Or(source.route, "draft")
	url, body := "http://"+source.address+"/v1/teams/"+string(fleettest.Team)+"/routes/"+route+"/requests", any(prompt)
	if source.direct {
		url = "http://" + source.address + "/v1/generate"
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

// times holds the times to the first token and between tokens, in microseconds.
type times struct {
	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{first: hdrhistogram.New(1, 60_000_000, 3), between: hdrhistogram.New(1, 60_000_000, 3)}
}

func (times *times) add(histogram *hdrhistogram.Histogram, elapsed time.Duration) {
	times.mu.Lock()
	defer times.mu.Unlock()
	_ = histogram.RecordValue(max(1, elapsed.Microseconds()))
}

// read asks for one answer, reads it to its end and records its times.
func (source source) read(ctx context.Context, number int, times *times) error {
	request, err := source.request(ctx, number)
	if err != nil {
		return err
	}
	last := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	histogram, seen, ended := times.first, 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case source.isEnd(line):
			ended = true
		case source.isToken(line):
			now := time.Now()
			times.add(histogram, now.Sub(last))
			histogram, last = times.between, now
			seen++
		}
	}
	if !ended || seen != int(source.tokens) {
		return fmt.Errorf("answer %d of %s: status %d, %d of %d tokens, %v", number, source.address, response.StatusCode, seen, source.tokens, scanner.Err())
	}
	return nil
}

func (source source) isEnd(line string) bool {
	if source.direct {
		return strings.Contains(line, `"Done":true`)
	}
	return line == "event: "+caller.EventEnd
}

func (source source) isToken(line string) bool {
	if source.direct {
		return line != ""
	}
	return strings.HasPrefix(line, `data: "`)
}

// reading has streams answers read side by side, each one rounds times. The
// streams start one after the other over the time stagger.
type reading struct {
	source  source
	streams int
	rounds  int
	stagger time.Duration
	times   *times
}

func (reading reading) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for stream := range reading.streams {
		group.Go(func() error {
			time.Sleep(reading.stagger * time.Duration(stream) / time.Duration(reading.streams))
			for round := range reading.rounds {
				if err := reading.source.read(ctx, stream*reading.rounds+round, reading.times); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}
