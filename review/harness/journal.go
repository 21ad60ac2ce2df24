package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	at      time.Time
	attempt string
	runner  string
	service string
	path    string
}

// answer is what a consumer got.
type answer struct {
	sent    time.Time
	at      time.Time
	attempt string
	router  string
	key     string
	status  int
	body    string
	err     error
}

// journal records what was sent, answered and run.
type journal struct {
	began time.Time

	mu      sync.Mutex
	lines   []string
	runs    []run
	answers []answer
}

func newJournal() *journal { return &journal{began: time.Now()} }

// add adds a line for something that happened at a time.
func (journal *journal) add(at time.Time, format string, args ...any) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.lines = append(journal.lines, fmt.Sprintf("%8.3f s  %s", at.Sub(journal.began).Seconds(), fmt.Sprintf(format, args...)))
}

// ran records a run.
func (journal *journal) ran(at time.Time, run run) {
	run.at = at
	journal.add(at, "runner %s (%s) runs %s %s", run.runner, run.service, run.attempt, run.path)
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.runs = append(journal.runs, run)
}

// answered records an answer.
func (journal *journal) answered(answer answer) {
	outcome := fmt.Sprint(answer.status)
	if answer.err != nil {
		outcome = answer.err.Error()
	}
	journal.add(answer.at, "%s at %s, sent at %.3f s, got %s", answer.attempt, answer.router, answer.sent.Sub(journal.began).Seconds(), outcome)
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.answers = append(journal.answers, answer)
}

// all returns the runs so far, and the answers by attempt.
func (journal *journal) all() ([]run, map[string]answer) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	answers := make(map[string]answer, len(journal.answers))
	for _, answer := range journal.answers {
		answers[answer.attempt] = answer
	}
	return slices.Clone(journal.runs), answers
}

// write writes the lines to a file.
func (journal *journal) write(name string) error {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	for _, line := range journal.lines {
		if _, err := fmt.Fprintln(file, line); err != nil {
			return err
		}
	}
	return file.Close()
}
