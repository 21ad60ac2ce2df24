package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// heartbeatEvery is the time between two writes of an upstream's row.
	heartbeatEvery = 300 * time.Millisecond
	// lapseAfter is the silence after which the platform removes a row.
	lapseAfter = 3 * heartbeatEvery
	// poolService is the service of all upstreams.
	poolService = "pool"
	// streamEvents is the number of events of a stream.
	streamEvents = 8
	// eventEvery is the time between two events.
	eventEvery = 15 * time.Millisecond
	// plainTime is how long a plain request runs.
	plainTime = 25 * time.Millisecond
)

// run is one start of work on a request.
type run struct {
	upstream string
	at       time.Time
}

// runBook records what the upstreams ran. It is safe for concurrent use.
type runBook struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (book *runBook) add(attempt string, started run) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if book.runs == nil {
		book.runs = make(map[string][]run)
	}
	book.runs[attempt] = append(book.runs[attempt], started)
}

func (book *runBook) of(attempt string) []run {
	book.mu.Lock()
	defer book.mu.Unlock()
	return book.runs[attempt]
}

// upstream is a stand-in of a runner behind a proxy.
type upstream struct {
	id    string
	store *standin.Platform
	book  *runBook
	proxy *proxy

	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	born     time.Time
	seq      int
	leaving  bool
	leftAt   time.Time
	crashed  bool
	slowness time.Duration
}

func startUpstream(id string, store *standin.Platform, book *runBook) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := startProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	upstream := &upstream{
		id: id, store: store, book: book, proxy: proxy, listener: listener, cancel: cancel,
		done: make(chan struct{}), born: time.Now(),
	}
	upstream.server = &http.Server{Handler: upstream}
	serving := &serving{server: upstream.server, listener: listener}
	go serving.run()
	go upstream.run(ctx)
	return upstream, nil
}

// serving serves HTTP until its server is closed.
type serving struct {
	server   *http.Server
	listener net.Listener
}

func (serving *serving) run() {
	// Every end of it is by Close.
	_ = serving.server.Serve(serving.listener)
}

// run writes the upstream's row until ctx ends.
func (upstream *upstream) run(ctx context.Context) {
	defer close(upstream.done)
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		upstream.beat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beat writes the row, unless the store is away or the upstream is down.
func (upstream *upstream) beat() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.crashed || upstream.store.Switches().Outage {
		return
	}
	upstream.seq++
	value, err := platform.EncodeServer(registry.Upstream{
		Incarnation: registry.Incarnation(upstream.born.UnixMilli()),
		Service:     poolService,
		Address:     upstream.proxy.address(),
		Zone:        "a",
		Slots:       64,
		Leaving:     upstream.leaving,
	}, upstream.seq)
	if err != nil {
		panic("soak: row of an upstream: " + err.Error())
	}
	upstream.store.Write(platform.Record{Table: platform.ServerTable, Key: platform.Key(upstream.id), Value: value})
}

// leave says that the upstream is leaving and returns when the store took that.
func (upstream *upstream) leave() time.Time {
	upstream.mu.Lock()
	upstream.leaving = true
	upstream.mu.Unlock()
	upstream.beat()
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.leftAt = time.Now()
	return upstream.leftAt
}

// crash breaks off all work and lets the row lapse; it comes back as another run
// under the same ID.
func (upstream *upstream) crash() {
	upstream.mu.Lock()
	upstream.crashed = true
	upstream.mu.Unlock()
	upstream.proxy.reset()
}

// lapse removes the row of an upstream that has been silent for long.
func (upstream *upstream) lapse() {
	upstream.store.Remove(platform.RowName{Table: platform.ServerTable, Key: platform.Key(upstream.id)})
}

func (upstream *upstream) revive() {
	upstream.mu.Lock()
	upstream.crashed = false
	upstream.leaving = false
	upstream.leftAt = time.Time{}
	upstream.born = time.Now()
	upstream.seq = 0
	upstream.mu.Unlock()
	upstream.beat()
}

// departed returns since when the upstream is leaving, or a zero time.
func (upstream *upstream) departed() time.Time {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.leftAt
}

func (upstream *upstream) down() bool {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.crashed
}

func (upstream *upstream) slow(by time.Duration) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.slowness = by
}

func (upstream *upstream) extra() time.Duration {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return upstream.slowness
}

func (upstream *upstream) close() {
	upstream.cancel()
	<-upstream.done
	_ = upstream.server.Close()
	upstream.proxy.close()
}

// ServeHTTP runs a request: a stream on a path with /stream/, a plain one else.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if upstream.down() {
		panic(http.ErrAbortHandler)
	}
	forwarded := platform.DecodeForwarded(request.Header)
	attempt := string(forwarded.Attempt)
	if string(forwarded.Upstream) != upstream.id {
		platform.EncodeAnswer(writer.Header(), forwarded.Attempt, "")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	upstream.book.add(attempt, run{upstream: upstream.id, at: time.Now()})
	platform.EncodeAnswer(writer.Header(), forwarded.Attempt, "s")
	time.Sleep(plainTime + upstream.extra())
	if !strings.Contains(request.URL.Path, "/stream/") {
		body := answerTo(attempt)
		writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
		// A sender that has left is owed no answer.
		_, _ = io.WriteString(writer, body)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for n := numberOf(forwarded.LastEvent) + 1; n <= streamEvents; n++ {
		_, writeErr := io.WriteString(writer, eventOf(attempt, n))
		if writeErr != nil || control.Flush() != nil || upstream.down() {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(eventEvery)
	}
}

// numberOf returns the number of the event with the ID id, zero for none.
func numberOf(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

// answerTo returns the whole plain answer to a request.
func answerTo(attempt string) string {
	return "answer to " + attempt + " " + strings.Repeat("x", 300)
}

func eventOf(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, attempt)
}

// streamTo returns the whole stream that answers a request.
func streamTo(attempt string) string {
	var stream strings.Builder
	for n := 1; n <= streamEvents; n++ {
		stream.WriteString(eventOf(attempt, n))
	}
	return stream.String()
}
