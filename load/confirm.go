package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
)

// keyOutcome accumulates the replies that callers received for one key.
type keyOutcome struct {
	answered bool
	answer   string
	// succeeded is set if the answer has a status below 300.
	succeeded bool
	// differing is set if two answers differ.
	differing bool
	// open counts the tries that ended with neither an answer nor a NotRun
	// outcome, so that it is unknown whether the request ran.
	open int
}

// ledger compares the replies that callers received for their confirmations
// with the number of times that the services ran them. The zero value is an
// empty ledger.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]*keyOutcome
}

// add records the reply to one try of a confirmation.
func (ledger *ledger) add(arrival Arrival, reply reply) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	outcome := ledger.outcome(string(arrival.Workspace) + "/" + string(arrival.Key))
	switch {
	case reply.ending == endedComplete:
		outcome.differing = outcome.differing || outcome.answered && outcome.answer != reply.text
		outcome.answered = true
		outcome.answer = reply.text
		outcome.succeeded = reply.status < http.StatusMultipleChoices
	case !notRun(reply):
		outcome.open++
	}
}

func (ledger *ledger) outcome(key string) *keyOutcome {
	if ledger.outcomes == nil {
		ledger.outcomes = make(map[string]*keyOutcome)
	}
	if ledger.outcomes[key] == nil {
		ledger.outcomes[key] = new(keyOutcome)
	}
	return ledger.outcomes[key]
}

// notRun reports whether reply guarantees that the request was not run.
func notRun(reply reply) bool {
	return reply.ending == endedUnsent || reply.ending == endedProblem && reply.code.Outcome() == result.NotRun
}

// report sums up the outcomes of all keys. If runs is not nil, it also compares
// them with the number of runs of each key.
func (ledger *ledger) report(runs map[string]int) Confirmations {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	report := Confirmations{Keys: len(ledger.outcomes), Checked: runs != nil}
	for key, outcome := range ledger.outcomes {
		report.add(outcome)
		if runs != nil {
			report.compare(outcome, runs[key])
		}
	}
	return report
}

func (confirmations *Confirmations) add(outcome *keyOutcome) {
	switch {
	case outcome.answered:
		confirmations.Done++
	case outcome.open > 0:
		confirmations.Open++
	}
	if outcome.differing {
		confirmations.Differing++
	}
}

func (confirmations *Confirmations) compare(outcome *keyOutcome, runs int) {
	switch {
	case runs > 1:
		confirmations.RanTwice++
	case runs == 1 && !outcome.answered && outcome.open == 0:
		confirmations.RanAfterNotRun++
	case runs == 0 && outcome.answered && outcome.succeeded:
		confirmations.DoneWithoutRun++
	}
}

// readRuns returns the number of runs of each key, summed over the services.
func readRuns(ctx context.Context, services []string) (map[string]int, error) {
	sum := make(map[string]int)
	for _, address := range services {
		runs, err := readRunsOf(ctx, address)
		if err != nil {
			return nil, errors.Wrapf(err, "reading the runs of the service at %s", address)
		}
		for key, count := range runs {
			sum[key] += count
		}
	}
	return sum, nil
}

func readRunsOf(ctx context.Context, address string) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/runs", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("got status %d, want %d", response.StatusCode, http.StatusOK)
	}
	var runs standin.Runs
	err = json.NewDecoder(response.Body).Decode(&runs)
	return runs.Runs, err
}
