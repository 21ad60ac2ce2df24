package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// keptStream is the first stream of random numbers of the callers that keep connections, and
	// keptPerCaller how many of them there are for each other caller.
	keptStream    = 1 << 34
	keptPerCaller = 4
	// beforeIdle and afterIdle bound how much shorter or longer than the idle timeout the pauses of
	// these callers are. Routers look for idle connections twice a second.
	beforeIdle = 200 * time.Millisecond
	afterIdle  = 500 * time.Millisecond
)

// changingKind is the kind of request that a configuration may not allow.
var changingKind = kind{name: "changing", method: http.MethodGet, path: changingPath}

// keptCaller sends requests over one connection, with pauses in which it is idle, until the router
// closes it or is gone. It never closes it itself unless an answer asks for that.
type keptCaller struct {
	soak   *Soak
	number int
	random *rand.Rand
	done   chan struct{}

	conn   *keptConn
	router *router
	sent   int
}

func newKeptCaller(soak *Soak, number int) *keptCaller {
	return &keptCaller{
		soak: soak, number: number, random: rand.New(rand.NewPCG(soak.options.Seed, keptStream+uint64(number))), done: make(chan struct{}),
	}
}

func (caller *keptCaller) run(ctx context.Context) {
	defer close(caller.done)
	for ctx.Err() == nil {
		if caller.connect() {
			caller.send()
		}
		time.Sleep(caller.pause())
	}
	caller.disconnect()
}

// pause returns a random pause. Most of them are about as long as the idle timeout.
func (caller *keptCaller) pause() time.Duration {
	if caller.random.IntN(4) == 0 {
		return time.Duration(caller.random.Int64N(int64(callerPause)))
	}
	idle := caller.soak.idleTimeout()
	return between(caller.random, idle-beforeIdle, idle+afterIdle)
}

// connect reports whether there is an open connection, and opens one to a random router in
// rotation if there was none.
func (caller *keptCaller) connect() bool {
	if caller.conn != nil && caller.conn.open() {
		return true
	}
	caller.disconnect()
	router := caller.soak.openRouter(caller.random)
	if router == nil {
		return false
	}
	conn, err := dialKept(router.settings.CallerListen)
	if err != nil {
		return false
	}
	caller.conn, caller.router = conn, router
	return true
}

func (caller *keptCaller) disconnect() {
	if caller.conn != nil {
		caller.conn.close()
		caller.conn = nil
	}
}

// send sends a request and checks its outcome.
func (caller *keptCaller) send() {
	caller.sent++
	call := caller.newCall()
	caller.soak.recordSender(call)
	call.perform(context.Background(), &http.Client{Transport: caller.conn}, caller.random.IntN(sharedPrefixCount), "body of "+string(call.attempt))
	caller.soak.checkKept(call, caller.conn.ending)
	if caller.conn.ending != stillOpen {
		caller.disconnect()
	}
}

// newCall returns a request of a random kind. Some have a key that may be unknown.
func (caller *keptCaller) newCall() *call {
	choice := caller.random.IntN(len(kinds) + 2)
	call := &call{
		kind:        changingKind,
		attempt:     ident.AttemptID(fmt.Sprintf("%d-kept-%d-%d", caller.soak.options.Seed, caller.number, caller.sent)),
		router:      caller.router,
		incarnation: caller.router.incarnation(),
		sentAt:      time.Now(),
		earlier:     caller.router.earlier(),
	}
	switch {
	case choice < len(kinds):
		call.kind = kinds[choice]
	case choice == len(kinds):
		call.key = changingKey
	}
	return call
}

// checkKept checks a call on a kept connection and how that ended.
func (soak *Soak) checkKept(call *call, ending ending) {
	soak.countKept(call, ending)
	refused := call.reply.Status == http.StatusUnauthorized || call.reply.Status == http.StatusNotFound
	if call.kind == changingKind && refused && call.reply.Err == nil {
		return
	}
	soak.check(call)
	if !call.earlier {
		soak.checkAnswered(call, ending)
	}
}

// checkAnswered checks that a whole request on a kept connection, forwarded or not, got an answer
// or a refusal, if the router closed its connection. It is no excuse that the router is short of
// processor time, changes its configuration, reloads or stops as planned.
func (soak *Soak) checkAnswered(call *call, ending ending) {
	if call.reply.Status != 0 || ending != lost {
		return
	}
	runs := len(soak.runLog.runsOf(call.attempt))
	if soak.mayLose(call.router, runs > 0, call.sentAt.Add(-settleTime), call.endedAt) {
		soak.countOutcome("kept lost beside a fault")
		return
	}
	soak.violate("neither answer nor refusal", "%s %s ran %d times, and %s closed its connection after %v: %v", call.kind.name, call.attempt, runs, call.router.name, call.endedAt.Sub(call.sentAt), call.reply.Err)
}

// countKept counts the outcomes of kept connections.
func (soak *Soak) countKept(call *call, ending ending) {
	if call.reply.Status == 0 {
		soak.countOutcome("kept " + ending.String())
		return
	}
	soak.countOutcome(fmt.Sprint("kept ", call.reply.Status))
}
