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
	// readTimeout bounds a read of the table.
	readTimeout = 2 * time.Second
	// askTimeout bounds a question to a holder.
	askTimeout = time.Second
)

// attempt drives one claim.Machine.
type attempt struct {
	claimer *Claimer
	request Request
	forward Forward
	// told receives what the caller is told, once.
	results chan claim.Result
	// resumed receives the step of an Expire that cut a wait short.
	resumed chan claim.Step

	mutex   sync.Mutex
	machine claim.Machine
}

// newAttempt gives the claim a nonce of its own: the router's name may come
// twice, and a row that names an attempt lets just that attempt be forwarded.
func newAttempt(claimer *Claimer, request Request, forward Forward) *attempt {
	return &attempt{
		claimer: claimer,
		request: request,
		forward: forward,
		results: make(chan claim.Result, 1),
		resumed: make(chan claim.Step, 1),
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

func (attempt *attempt) name() ident.AttemptID { return attempt.machine.Record.Attempt }

func (attempt *attempt) names() []ident.AttemptID {
	if attempt.request.Attempt == "" {
		return []ident.AttemptID{attempt.name()}
	}
	return []ident.AttemptID{attempt.name(), attempt.request.Attempt}
}

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

// wait returns what the caller is told. The deadline and the end of the
// caller's ctx expire the attempt.
func (attempt *attempt) wait(ctx context.Context) claim.Result {
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

// expire lets the machine tell the caller something now, whatever is under way.
func (attempt *attempt) expire() {
	attempt.mutex.Lock()
	waiting := attempt.machine.Waiting()
	step := attempt.machine.Expire(attempt.claimer.options.Now())
	attempt.mutex.Unlock()
	attempt.tell(step)
	if waiting {
		attempt.resumed <- step
	}
}

func (attempt *attempt) tell(step claim.Step) {
	if step.Result != nil {
		attempt.results <- *step.Result
	}
}

// run does what the machine asks for until nothing is left to do.
func (attempt *attempt) run() {
	defer attempt.claimer.forget(attempt)
	step := attempt.event((*claim.Machine).Start)
	for !attempt.settled() {
		if attempt.claimer.ctx.Err() != nil {
			return
		}
		step = attempt.act(step)
	}
}

func (attempt *attempt) settled() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.machine.Settled()
}

// event gives the machine one event and the caller what follows for it.
func (attempt *attempt) event(event func(machine *claim.Machine, now time.Time) claim.Step) claim.Step {
	attempt.mutex.Lock()
	step := event(&attempt.machine, attempt.claimer.options.Now())
	attempt.mutex.Unlock()
	attempt.tell(step)
	return step
}

// act does one action and returns the step that follows from its result.
func (attempt *attempt) act(step claim.Step) claim.Step {
	switch step.Action {
	case claim.Commit:
		return attempt.commit(step.Transaction)
	case claim.Read:
		return attempt.read()
	case claim.QueryHolder:
		return attempt.ask(step.Holder)
	case claim.Forward:
		return attempt.send()
	}
	return attempt.pause(step)
}

func (attempt *attempt) commit(transaction platform.Transaction) claim.Step {
	var settled claim.ItemResult
	select {
	case settled = <-attempt.claimer.writer.write(transaction):
	case <-attempt.claimer.ctx.Done():
		settled.Result = claim.CommitLost
	}
	return attempt.event(func(machine *claim.Machine, now time.Time) claim.Step {
		switch settled.Result {
		case claim.CommitApplied:
			return machine.Committed(now, settled.Revision)
		case claim.CommitConflicted:
			return machine.Conflicted(now, settled.Row)
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
	return attempt.event(func(machine *claim.Machine, now time.Time) claim.Step {
		switch {
		case err != nil:
			return machine.Unavailable(now)
		case len(rows) == 0:
			return machine.RowRead(now, nil)
		}
		return machine.RowRead(now, &rows[0])
	})
}

func (attempt *attempt) ask(holder claim.Holder) claim.Step {
	reply, err := attempt.askHolder(holder)
	return attempt.event(func(machine *claim.Machine, now time.Time) claim.Step {
		return machine.HolderAnswered(now, reply, err)
	})
}

func (attempt *attempt) askHolder(holder claim.Holder) (peer.AttemptReply, error) {
	if holder.Address == attempt.claimer.options.Address {
		return attempt.claimer.Status(holder.Attempt), nil
	}
	ctx, cancel := context.WithTimeout(attempt.claimer.ctx, askTimeout)
	defer cancel()
	return attempt.claimer.options.Ask(ctx, holder.Address, holder.Attempt)
}

// send forwards the request. The caller's going does not cancel it, so that
// its answer can be recorded for the caller that comes back.
func (attempt *attempt) send() claim.Step {
	ctx, cancel := context.WithDeadline(attempt.claimer.ctx, attempt.request.Deadline.Add(attempt.claimer.options.Grace))
	defer cancel()
	reply, err := attempt.forward(ctx)
	return attempt.event(func(machine *claim.Machine, now time.Time) claim.Step {
		if err != nil {
			return machine.UpstreamLost(now, result.From(err, result.OutcomeUnknown))
		}
		return machine.UpstreamAnswered(now, reply)
	})
}

// pause waits until the time in step, or until the attempt expires. A step
// that asks for nothing waits for the step of an Expire that is under way.
func (attempt *attempt) pause(step claim.Step) claim.Step {
	var due <-chan time.Time
	if step.Action == claim.Wait {
		timer := time.NewTimer(step.Until.Sub(attempt.claimer.options.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case resumed := <-attempt.resumed:
		return resumed
	case <-attempt.claimer.ctx.Done():
		return step
	case <-due:
		return attempt.event((*claim.Machine).Waited)
	}
}
