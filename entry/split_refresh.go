package entry

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// refreshTimeout bounds the wait of a request until the splits were read.
	refreshTimeout = 400 * time.Millisecond
	// refreshesPerSecond bounds the reads of splits by all routers, for requests.
	refreshesPerSecond = 500
)

// refresh is a request that needs to know that no split has changed before it arrived.
type refresh struct {
	// done is closed once a read of the splits that began after the request arrived
	// has ended, and succeeded says how.
	done      chan struct{}
	succeeded bool
}

// refresher reads the splits from the store when requests need that, one read for all
// that wait.
type refresher struct {
	versions *versions
	requests chan *refresh
}

// refresh has the splits read and reports whether that succeeded. Without the store it
// returns at once.
func (refresher *refresher) refresh(ctx context.Context) bool {
	if !refresher.versions.storeReachable() {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	request := &refresh{done: make(chan struct{})}
	select {
	case refresher.requests <- request:
	case <-bounded.Done():
		return false
	}
	select {
	case <-request.done:
		return request.succeeded
	case <-bounded.Done():
		return false
	}
}

func (refresher *refresher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-refresher.requests:
			refresher.serve(ctx, first)
		}
	}
}

// serve reads the splits for a request and all others that have arrived, and pauses.
func (refresher *refresher) serve(ctx context.Context, first *refresh) {
	waiting := append([]*refresh{first}, refresher.arrived()...)
	refresher.versions.metrics.CountEvent("split.refreshed")
	_, read := refresher.versions.readRows(ctx, refreshTimeout)
	for _, request := range waiting {
		request.succeeded = read
		close(request.done)
	}
	wait.Sleep(ctx, time.Duration(refresher.versions.daemon.routers())*time.Second/refreshesPerSecond)
}

// arrived returns the requests that wait already.
func (refresher *refresher) arrived() []*refresh {
	var arrived []*refresh
	for {
		select {
		case request := <-refresher.requests:
			arrived = append(arrived, request)
		default:
			return arrived
		}
	}
}
