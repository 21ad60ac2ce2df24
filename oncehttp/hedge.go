package oncehttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// minSilentAge is the least age of a connection that carried no earlier request before its
// request is sent again: a server that does not answer a new connection is away or slow.
const minSilentAge = time.Second

// DoHedged sends a GET request like Do. If no response has begun at the given time, it sends
// second, which asks for the same, on a new connection, and returns the response that begins
// first; its Request field says which. If that is the second one, the connection of the
// first is silent, so that connections which are as old are no longer used, and hedged
// requests that wait on them are sent again at once.
func (client *Client) DoHedged(request, second *http.Request, at time.Time) (*http.Response, error) {
	hedge := &hedge{client: client, done: make(chan struct{})}
	firstCtx, cancelFirst := context.WithCancel(request.Context())
	secondCtx, cancelSecond := context.WithCancel(second.Context())
	hedge.cancelFirst, hedge.second = cancelFirst, second.WithContext(secondCtx)
	client.addHedge(hedge, at)
	trace := &httptrace.ClientTrace{GotConn: hedge.gotConn}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(firstCtx, trace)))
	began := client.removeHedge(hedge)
	if err == nil && hedge.decide() {
		cancelSecond()
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancelFirst}
		response.Request = request
		return response, nil
	}
	defer cancelFirst()
	if err == nil {
		// Both responded, the second one first.
		_ = response.Body.Close()
	}
	if began {
		<-hedge.done
		if hedge.response != nil {
			hedge.response.Body = &cancelBody{ReadCloser: hedge.response.Body, cancel: cancelSecond}
			hedge.response.Request = second
			return hedge.response, nil
		}
	}
	cancelSecond()
	return nil, err
}

// hedge is a request that is sent again unless its response begins in time.
type hedge struct {
	client      *Client
	second      *http.Request
	cancelFirst context.CancelFunc
	// timer runs the hedge, and done is closed when it has run.
	timer *time.Timer
	done  chan struct{}

	mu sync.Mutex
	// conn is the connection of the first request, and reused whether it had carried an
	// earlier one.
	conn   *conn
	reused bool
	// decided is set once either request has got a response.
	decided  bool
	response *http.Response
}

func (hedge *hedge) gotConn(info httptrace.GotConnInfo) {
	hedge.mu.Lock()
	defer hedge.mu.Unlock()
	hedge.conn, _ = info.Conn.(*conn)
	hedge.reused = info.Reused
}

// connection returns the connection of the first request if it may be silent, or nil.
func (hedge *hedge) connection() *conn {
	hedge.mu.Lock()
	defer hedge.mu.Unlock()
	if hedge.conn == nil || !hedge.reused && time.Since(hedge.conn.openedAt) < minSilentAge {
		return nil
	}
	return hedge.conn
}

// waitsOn reports whether the first request waits on a connection opened before a time.
func (hedge *hedge) waitsOn(openedBefore time.Time) bool {
	hedge.mu.Lock()
	defer hedge.mu.Unlock()
	return hedge.conn != nil && hedge.conn.openedAt.Before(openedBefore)
}

// decide records that a request got a response, and reports whether it is the first one.
func (hedge *hedge) decide() bool {
	hedge.mu.Lock()
	defer hedge.mu.Unlock()
	decided := hedge.decided
	hedge.decided = true
	return !decided
}

// run sends the second request.
func (hedge *hedge) run() {
	defer close(hedge.done)
	waiting := hedge.connection()
	if waiting == nil {
		return
	}
	began := time.Now()
	hedge.client.Retire(began)
	response, err := hedge.client.Do(hedge.second)
	if err != nil {
		return
	}
	if !hedge.decide() {
		_ = response.Body.Close()
		return
	}
	hedge.response = response
	hedge.cancelFirst()
	hedge.client.wakeHedges(began)
	if hedge.client.OnSilent != nil {
		hedge.client.OnSilent(waiting.openedAt)
	}
}

// addHedge lets a hedge run at a time.
func (client *Client) addHedge(added *hedge, at time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.hedges == nil {
		client.hedges = make(map[*hedge]struct{})
	}
	added.timer = time.AfterFunc(time.Until(at), added.run)
	client.hedges[added] = struct{}{}
}

// removeHedge lets a hedge not run any more and reports whether it has begun to.
func (client *Client) removeHedge(hedge *hedge) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	delete(client.hedges, hedge)
	return !hedge.timer.Stop()
}

// wakeHedges lets the hedges of requests that wait on connections opened before a time run
// at once.
func (client *Client) wakeHedges(openedBefore time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for hedge := range client.hedges {
		if hedge.waitsOn(openedBefore) && hedge.timer.Stop() {
			hedge.timer.Reset(0)
		}
	}
}

// Retire closes the idle connections and lets those in use that were opened before a time
// carry no further request.
func (client *Client) Retire(openedBefore time.Time) {
	client.once.Do(client.initTransport)
	client.mu.Lock()
	if client.retiredBefore.Before(openedBefore) {
		client.retiredBefore = openedBefore
	}
	client.mu.Unlock()
	client.transport.CloseIdleConnections()
}

// retired reports whether a connection must not carry a further request.
func (client *Client) retired(conn *conn) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return conn.openedAt.Before(client.retiredBefore)
}

// cancelBody is a response body whose request's context ends with it.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the context.
func (cancelBody *cancelBody) Close() error {
	defer cancelBody.cancel()
	return cancelBody.ReadCloser.Close()
}
