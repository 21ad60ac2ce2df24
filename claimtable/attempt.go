package claimtable

import (
	"context"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// readTimeout limits a read of the table.
	readTimeout = 2 * time.Second
	// queryTimeout limits a query to the holder of a claim.
	queryTimeout = time.Second
)

// attempt runs one claim.Machine.
type attempt struct {
	claimer *Claimer
	request Request
	forward Forward
	// results receives the caller's result, once.
	results chan claim.Result
	// expirySteps receives the step of an Expire that ended a wait.
	expirySteps chan claim.Step

	mutex   sync.Mutex
	machine claim.Machine
}

// newAttempt gives the attempt a new ID of its own. The router's ID for an
// attempt may arrive twice, whereas a row that names an attempt must allow only
// that one to be forwarded.
func newAttempt(claimer *Claimer, request Request, forward Forward) *attempt {
	return &attempt{
		claimer:     claimer,
		request:     request,
		forward:     forward,
		results:     make(chan claim.Result, 1),
		expirySteps: make(chan claim.Step, 1),
		machine: claim.Machine{
			Key:      request.Key,
			Deadline: request.Deadline,
			Record: claim.Record{
				Attempt:   ident.NewAttemptID(),
				Sidecar:   claimer.options.Address,
				Upstream:  request.Upstream,
				Body:      request.Body,
				ClaimedAt: claimer.options.Now(),
			},
		},
	}
}

func (attempt *attempt) id() ident.AttemptID { return attempt.machine.Record.Attempt }

// ids returns the attempt's own ID and, if it has one, the router's.
func (attempt *attempt) ids() []ident.AttemptID {
	if attempt.request.Attempt == "" {
		return []ident.AttemptID{attempt.id()}
	}
	return []ident.AttemptID{attempt.id(), attempt.request.Attempt}
}

// status returns the attempt's state as reported to peers.
func (attempt *attempt) status() peer.AttemptReply {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	reply := peer.AttemptReply{State: attempt.machine.State()}
	if reply.State == peer.AttemptDone {
		answer := attempt.machine.Reply()
		reply.Answer = &peer.AttemptAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	}
	return reply
}

// awaitResult returns the caller's result. The attempt expires at its deadline
// or when ctx is done.
func (attempt *attempt) awaitResult(ctx context.Context) claim.Result {
	timer := time.NewTimer(attempt.request.Deadline.Sub(attempt.claimer.options.Now()))
	defer timer.Stop()
	select {
	case outcome := <-attempt.results:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	attempt.expire()
	return <-attempt.results
}

// expire makes the machine return the caller's result now, even if an action is
// under way.
func (attempt *attempt) expire() {
	attempt.mutex.Lock()
	waiting := attempt.machine.Waiting()
	step := attempt.machine.Expire(attempt.claimer.options.Now())
	attempt.mutex.Unlock()
	attempt.deliverResult(step)
	if waiting {
		attempt.expirySteps <- step
	}
}

func (attempt *attempt) deliverResult(step claim.Step) {
	if step.Result != nil {
		attempt.results <- *step.Result
	}
}

// run carries out the machine's actions until no work remains or the claimer is
// stopped.
func (attempt *attempt) run() {
	defer attempt.claimer.markSettled(attempt)
	step := attempt.handleEvent((*claim.Machine).Start)
	for !attempt.settled() {
		if attempt.claimer.ctx.Err() != nil {
			return
		}
		step = attempt.perform(step)
	}
}

func (attempt *attempt) settled() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.machine.Settled()
}

// handleEvent passes one event to the machine and delivers the caller's result
// if the event leads to it.
func (attempt *attempt) handleEvent(event func(machine *claim.Machine, now time.Time) claim.Step) claim.Step {
	attempt.mutex.Lock()
	step := event(&attempt.machine, attempt.claimer.options.Now())
	attempt.mutex.Unlock()
	attempt.deliverResult(step)
	return step
}

// perform carries out the action of step and returns the step that follows from
// its result.
func (attempt *attempt) perform(step claim.Step) claim.Step {
	switch step.Action {
	case claim.Commit:
		return attempt.commit(step.Transaction)
	case claim.Read:
		return attempt.read()
	case claim.QueryHolder:
		return attempt.query(step.Holder)
	case claim.Forward:
		return attempt.forwardRequest()
	}
	return attempt.sleep(step)
}

func (attempt *attempt) commit(transaction platform.Transaction) claim.Step {
	var itemResult claim.ItemResult
	select {
	case itemResult = <-attempt.claimer.writer.write(transaction):
	case <-attempt.claimer.ctx.Done():
		itemResult.Result = claim.CommitLost
	}
	return attempt.handleEvent(func(machine *claim.Machine, now time.Time) claim.Step {
		switch itemResult.Result {
		case claim.CommitApplied:
			return machine.Committed(now, itemResult.Revision)
		case claim.CommitConflicted:
			return machine.Conflicted(now, itemResult.Row)
		case claim.CommitUnavailable:
			return machine.Unavailable(now)
		}
		return machine.Lost(now)
	})
}

func (attempt *attempt) read() claim.Step {
	ctx, cancel := context.WithTimeout(attempt.claimer.ctx, readTimeout)
	defer cancel()
	rows, err := attempt.claimer.options.Table.Read(ctx, attempt.request.Key.Row())
	return attempt.handleEvent(func(machine *claim.Machine, now time.Time) claim.Step {
		switch {
		case err != nil:
			return machine.Unavailable(now)
		case len(rows) == 0:
			return machine.RowRead(now, nil)
		}
		return machine.RowRead(now, &rows[0])
	})
}

func (attempt *attempt) query(holder claim.Holder) claim.Step {
	reply, err := attempt.queryHolder(holder)
	return attempt.handleEvent(func(machine *claim.Machine, now time.Time) claim.Step {
		return machine.HolderAnswered(now, reply, err)
	})
}

func (attempt *attempt) queryHolder(holder claim.Holder) (peer.AttemptReply, error) {
	if holder.Address == attempt.claimer.options.Address {
		return attempt.claimer.Status(holder.Attempt), nil
	}
	ctx, cancel := context.WithTimeout(attempt.claimer.ctx, queryTimeout)
	defer cancel()
	return attempt.claimer.options.QueryAttempt(ctx, holder.Address, holder.Attempt)
}

// forwardRequest sends the request to the upstream. The request is not canceled
// when the caller leaves, so that its answer can be recorded for a caller that
// retries.
func (attempt *attempt) forwardRequest() claim.Step {
	ctx, cancel := context.WithDeadline(attempt.claimer.ctx, attempt.request.Deadline.Add(attempt.claimer.options.Grace))
	defer cancel()
	reply, err := attempt.forward(ctx)
	return attempt.handleEvent(func(machine *claim.Machine, now time.Time) claim.Step {
		if err != nil {
			return machine.UpstreamLost(now, result.From(err, result.OutcomeUnknown))
		}
		return machine.UpstreamAnswered(now, reply)
	})
}

// sleep waits until step.Until or until the attempt expires. A step without an
// action waits for the step of an Expire that is under way.
func (attempt *attempt) sleep(step claim.Step) claim.Step {
	var due <-chan time.Time
	if step.Action == claim.Wait {
		timer := time.NewTimer(step.Until.Sub(attempt.claimer.options.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case resumed := <-attempt.expirySteps:
		return resumed
	case <-attempt.claimer.ctx.Done():
		return step
	case <-due:
		return attempt.handleEvent((*claim.Machine).Waited)
	}
}
