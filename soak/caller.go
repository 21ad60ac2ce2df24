package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// callerPause bounds the pause of a caller between two requests.
	callerPause = 60 * time.Millisecond
	// patience is how long a caller waits for an answer.
	patience = 3 * time.Second
	// callerHost is the host that all callers ask for.
	callerHost = "a.example"
	// apiKey is the key of all callers.
	apiKey = "key-1"
	// sharedPrompts is the number of shared prompts of the streams.
	sharedPrompts = 20
)

// kind is a kind of request.
type kind struct {
	name   string
	method string
	path   string
	// once says that a request may run at most once.
	once   bool
	stream bool
}

var kinds = []kind{
	{name: "once", method: http.MethodPost, path: "/once/", once: true},
	{name: "again", method: http.MethodGet, path: "/again/"},
	{name: "stream", method: http.MethodPost, path: "/stream/", once: true, stream: true},
	{name: "resume", method: http.MethodPost, path: "/resume/stream/", stream: true},
}

// call is one request of a caller with what came of it.
type call struct {
	kind        kind
	attempt     ident.AttemptID
	router      *router
	incarnation int
	sentAt      time.Time
	endedAt     time.Time
	reply       standin.Reply
}

// caller sends requests and keeps its connection until it ends.
type caller struct {
	soak   *Soak
	number int
	random *rand.Rand
	done   chan struct{}

	client *http.Client
	router *router
	sent   int
}

func (caller *caller) run(ctx context.Context) {
	defer close(caller.done)
	defer caller.leave()
	for ctx.Err() == nil {
		if caller.router == nil && !caller.connect() {
			time.Sleep(callerPause)
			continue
		}
		caller.soak.check(caller.send(ctx))
		time.Sleep(time.Duration(caller.random.Int64N(int64(callerPause))))
	}
}

// connect chooses a router that is in rotation.
func (caller *caller) connect() bool {
	var open []*router
	for _, router := range caller.soak.routers {
		if router.inRotation() {
			open = append(open, router)
		}
	}
	if len(open) == 0 {
		return false
	}
	caller.router = open[caller.random.IntN(len(open))]
	caller.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	return true
}

// leave gives up the connection.
func (caller *caller) leave() {
	if caller.client != nil {
		caller.client.CloseIdleConnections()
	}
	caller.router = nil
}

// send sends one request of a drawn kind and reads the answer.
func (caller *caller) send(ctx context.Context) *call {
	caller.sent++
	drawn := kinds[caller.random.IntN(len(kinds))]
	made := &call{
		kind:        drawn,
		attempt:     ident.AttemptID(fmt.Sprintf("%d-%d-%d", caller.soak.options.Seed, caller.number, caller.sent)),
		router:      caller.router,
		incarnation: caller.router.incarnation(),
		sentAt:      time.Now(),
	}
	made.perform(context.WithoutCancel(ctx), caller.client, caller.random.IntN(sharedPrompts))
	if made.reply.Err != nil {
		caller.leave()
	}
	return made
}

// perform sends the request of the call and reads its answer.
func (made *call) perform(ctx context.Context, client *http.Client, prompt int) {
	defer func() { made.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	head := platform.RequestHead{
		Attempt: made.attempt,
		Wait:    ident.Milliseconds(patience.Milliseconds()),
		APIKey:  apiKey,
	}
	if made.kind.stream {
		head.Prompt = []platform.PromptPart{{ID: "aa", Tokens: 100}, {ID: fmt.Sprint("b", prompt), Tokens: 4000}, {ID: string(made.attempt), Tokens: 50}}
	}
	sent := &standin.Call{
		Method: made.kind.method,
		Router: made.router.settings.CallerListen,
		Host:   callerHost,
		Path:   made.kind.path,
		Head:   head,
		Body:   "body of " + string(made.attempt),
	}
	made.reply = sent.Send(ctx, client)
}
