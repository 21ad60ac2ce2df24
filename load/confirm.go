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

// fate is what the callers were told of one key.
type fate struct {
	answered bool
	answer   string
	// succeeded says that the answer has a status below 300.
	succeeded bool
	differing bool
	// open counts the tries that ended neither with an answer nor with "not
	// run".
	open int
}

// ledger compares what callers were told of their confirmations with what the
// services ran. The zero value is empty.
type ledger struct {
	mu    sync.Mutex
	fates map[string]*fate
}

// add takes in the reply to one try of a confirmation.
func (ledger *ledger) add(arrival Arrival, reply reply) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	fate := ledger.fate(string(arrival.Workspace) + "/" + string(arrival.Key))
	switch {
	case reply.ending == endedWhole:
		fate.differing = fate.differing || fate.answered && fate.answer != reply.text
		fate.answered = true
		fate.answer = reply.text
		fate.succeeded = reply.status < http.StatusMultipleChoices
	case !notRun(reply):
		fate.open++
	}
}

func (ledger *ledger) fate(key string) *fate {
	if ledger.fates == nil {
		ledger.fates = make(map[string]*fate)
	}
	if ledger.fates[key] == nil {
		ledger.fates[key] = new(fate)
	}
	return ledger.fates[key]
}

// notRun reports whether reply says for certain that nothing was run.
func notRun(reply reply) bool {
	return reply.ending == endedUnsent || reply.ending == endedProblem && reply.code.Outcome() == result.NotRun
}

// report sums up the fates and, where runs is not nil, compares them with how
// often each key ran.
func (ledger *ledger) report(runs map[string]int) Confirmations {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	report := Confirmations{Keys: len(ledger.fates), Checked: runs != nil}
	for key, fate := range ledger.fates {
		report.add(fate)
		if runs != nil {
			report.compare(fate, runs[key])
		}
	}
	return report
}

func (confirmations *Confirmations) add(fate *fate) {
	switch {
	case fate.answered:
		confirmations.Done++
	case fate.open > 0:
		confirmations.Open++
	}
	if fate.differing {
		confirmations.Differing++
	}
}

func (confirmations *Confirmations) compare(fate *fate, runs int) {
	switch {
	case runs > 1:
		confirmations.RanTwice++
	case runs == 1 && !fate.answered && fate.open == 0:
		confirmations.RanAfterNotRun++
	case runs == 0 && fate.answered && fate.succeeded:
		confirmations.DoneWithoutRun++
	}
}

// readRuns adds up how often each key ran at the services.
func readRuns(ctx context.Context, services []string) (map[string]int, error) {
	sum := make(map[string]int)
	for _, address := range services {
		runs, err := readRunsOf(ctx, address)
		if err != nil {
			return nil, errors.Wrapf(err, "runs of the service at %s", address)
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
		return nil, errors.Newf("status %d", response.StatusCode)
	}
	var runs standin.Runs
	err = json.NewDecoder(response.Body).Decode(&runs)
	return runs.Runs, err
}
