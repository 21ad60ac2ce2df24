package split

import (
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// originLifetime is how long an origin is kept, and maxOrigins limits how many.
	originLifetime = 2 * time.Minute
	maxOrigins     = 1 << 16
)

// Origin is where a stream began.
type Origin struct {
	Attempt   ident.AttemptID
	Service   ident.ServiceName
	Version   ident.SoftwareVersion
	Workspace ident.WorkspaceID
	BeganAt   time.Time
}

// Origins holds the origins of recent streams that this router began or was notified of.
// The zero value is empty. A nil *Origins stays so. It is safe for concurrent use.
type Origins struct {
	mu       sync.Mutex
	origins  map[ident.AttemptID]Origin
	attempts []ident.AttemptID
	waiting  map[ident.AttemptID][]chan struct{}
}

// Add records an origin and wakes who waits for it. An attempt with two different
// origins has none.
func (origins *Origins) Add(now time.Time, origin Origin) {
	if origins == nil {
		return
	}
	origins.mu.Lock()
	defer origins.mu.Unlock()
	origins.expire(now)
	known, found := origins.origins[origin.Attempt]
	switch {
	case !found:
		origins.insert(origin)
	case known.Version != origin.Version || known.Service != origin.Service || known.Workspace != origin.Workspace:
		known.Version = ""
		origins.origins[origin.Attempt] = known
	}
	for _, woken := range origins.waiting[origin.Attempt] {
		close(woken)
	}
	delete(origins.waiting, origin.Attempt)
}

// insert adds an origin. The caller holds mu.
func (origins *Origins) insert(origin Origin) {
	if origins.origins == nil {
		origins.origins = make(map[ident.AttemptID]Origin)
	}
	origins.origins[origin.Attempt] = origin
	origins.attempts = append(origins.attempts, origin.Attempt)
}

// expire removes origins that are too old or too many. The caller holds mu.
func (origins *Origins) expire(now time.Time) {
	count := 0
	for _, attempt := range origins.attempts {
		tooMany := len(origins.attempts)-count >= maxOrigins
		if !tooMany && now.Sub(origins.origins[attempt].BeganAt) <= originLifetime {
			break
		}
		delete(origins.origins, attempt)
		count++
	}
	origins.attempts = origins.attempts[count:]
}

// Get returns the origin of the stream of an attempt, and whether it is known.
func (origins *Origins) Get(attempt ident.AttemptID) (Origin, bool) {
	if origins == nil {
		return Origin{}, false
	}
	origins.mu.Lock()
	defer origins.mu.Unlock()
	origin, found := origins.origins[attempt]
	return origin, found
}

// Wait returns a channel that is closed once the origin of an attempt is added, and a
// function that ends the wait.
func (origins *Origins) Wait(attempt ident.AttemptID) (added <-chan struct{}, cancel func()) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	if origins.waiting == nil {
		origins.waiting = make(map[ident.AttemptID][]chan struct{})
	}
	woken := make(chan struct{})
	origins.waiting[attempt] = append(origins.waiting[attempt], woken)
	return woken, func() { origins.endWait(attempt, woken) }
}

func (origins *Origins) endWait(attempt ident.AttemptID, ended chan struct{}) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	var remaining []chan struct{}
	for _, woken := range origins.waiting[attempt] {
		if woken != ended {
			remaining = append(remaining, woken)
		}
	}
	if len(remaining) == 0 {
		delete(origins.waiting, attempt)
		return
	}
	origins.waiting[attempt] = remaining
}

// Len returns the number of origins.
func (origins *Origins) Len() int {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return len(origins.origins)
}
