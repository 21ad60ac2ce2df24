package soak

import (
	"cmp"
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
	// callerPause is the upper bound of the random pause between two requests of
	// a caller.
	callerPause = 60 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 3 * time.Second
	// callerHost is the host name that all requests use.
	callerHost = "a.example"
	// apiKey is the API key of all callers.
	apiKey = "key-1"
	// sharedPart is in the prompts of all streams, and of the requests that end
	// upstreams by another part.
	sharedPart = "aa"
	// sharedPrefixCount is the number of different prompt prefixes that streams
	// share.
	sharedPrefixCount = 20
)

// kind is a kind of request. Its name appears in the report.
type kind struct {
	name   string
	method string
	path   string
	// atMostOnce says that a request must not run more than once.
	atMostOnce bool
	stream     bool
	// resumable says that a stream may be taken up.
	resumable bool
	// same says that all requests of the kind are equal but for their attempt.
	same bool
}

var kinds = []kind{
	{name: "once", method: http.MethodPost, path: "/once/", atMostOnce: true},
	{name: "again", method: http.MethodGet, path: "/again/"},
	{name: "stream", method: http.MethodPost, path: "/stream/", atMostOnce: true, stream: true},
	{name: "same", method: http.MethodGet, path: "/again/same", same: true},
	{name: "resume", method: http.MethodPost, path: "/resume/stream/", stream: true, resumable: true},
}

// call is one request of a caller and its outcome.
type call struct {
	kind        kind
	attempt     ident.AttemptID
	router      *router
	incarnation int
	sentAt      time.Time
	endedAt     time.Time
	// earlier says that the router ran the earlier program.
	earlier bool
	reply   standin.Reply
	// prompt holds the shared parts of the prompt, if they are not those of the kind.
	prompt []string
	// key is the API key; empty means apiKey.
	key string
	// own is the part of the prompt that is the stream's own; empty means the attempt.
	own ident.AttemptID
	// resumes and lastEvent are set for a take-up.
	resumes   ident.AttemptID
	lastEvent string
}

// caller sends requests over one connection to a router until its context ends.
// After an error it chooses a router again.
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
	defer caller.disconnect()
	for ctx.Err() == nil {
		if caller.router == nil && !caller.connect() {
			time.Sleep(callerPause)
			continue
		}
		caller.soak.check(caller.send(ctx))
		time.Sleep(time.Duration(caller.random.Int64N(int64(callerPause))))
	}
}

// connect chooses a random router that is in rotation. It returns false if there
// is none.
func (caller *caller) connect() bool {
	caller.router = caller.soak.openRouter(caller.random)
	if caller.router == nil {
		return false
	}
	caller.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	return true
}

// openRouter returns a random router that is in rotation, or nil if there is none.
func (soak *Soak) openRouter(random *rand.Rand) *router {
	var open []*router
	for _, router := range soak.routers {
		if router.inRotation() {
			open = append(open, router)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[random.IntN(len(open))]
}

// disconnect closes the connection, so that the next request chooses a router
// again.
func (caller *caller) disconnect() {
	if caller.client != nil {
		caller.client.CloseIdleConnections()
	}
	caller.router = nil
}

// send sends one request of a random kind and reads the answer. The request is not
// cancelled when ctx ends.
func (caller *caller) send(ctx context.Context) *call {
	caller.sent++
	kind := kinds[caller.random.IntN(len(kinds))]
	call := &call{
		kind:        kind,
		attempt:     ident.AttemptID(fmt.Sprintf("%d-%d-%d", caller.soak.options.Seed, caller.number, caller.sent)),
		router:      caller.router,
		incarnation: caller.router.incarnation(),
		sentAt:      time.Now(),
		earlier:     caller.router.earlier(),
	}
	body := "body of " + string(call.attempt)
	if kind.same {
		body = ""
	}
	caller.soak.recordSender(call)
	prompt := caller.random.IntN(sharedPrefixCount)
	call.perform(context.WithoutCancel(ctx), caller.client, prompt, body)
	if call.reply.Err != nil {
		caller.disconnect()
		caller.takeUp(ctx, call, prompt, body)
	}
	return call
}

// perform sends the request and records its reply and end time in the call.
func (call *call) perform(ctx context.Context, client *http.Client, prompt int, body string) {
	defer func() { call.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	head := platform.RequestHead{
		Attempt: call.attempt,
		Wait:    ident.Milliseconds(requestTimeout.Milliseconds()),
		APIKey:  cmp.Or(call.key, apiKey),
	}
	shared := call.prompt
	if call.kind.stream && shared == nil {
		shared = []string{sharedPart, fmt.Sprint("b", prompt)}
	}
	for _, part := range shared {
		head.Prompt = append(head.Prompt, platform.PromptPart{ID: part, Tokens: 1000})
	}
	if len(shared) > 0 {
		head.Prompt = append(head.Prompt, platform.PromptPart{ID: string(cmp.Or(call.own, call.attempt)), Tokens: 50})
	}
	head.Resumes, head.LastEvent = call.resumes, call.lastEvent
	sent := &standin.Call{
		Method: call.kind.method,
		Router: call.router.settings.CallerListen,
		Host:   callerHost,
		Path:   call.kind.path,
		Head:   head,
		Body:   body,
	}
	call.reply = sent.Send(ctx, client)
}
