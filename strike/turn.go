package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// turnInterval separates the turns of the routers in the rendezvous order of a key: a
	// router whose run crashes its upstream has told the next one by then. All routers
	// from rank maxTurns on have the same turn.
	turnInterval = 150 * time.Millisecond
	maxTurns     = 5
)

// SetRouters sets the address of this router and of all routers that are known to run.
// Without it this router is taken for the only one.
func (guard *Guard) SetRouters(self string, routers []string) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.router, guard.routers = self, routers
}

// turn returns how long a request that runs alone waits at this router: copies that arrive
// at several routers at once run one after the other. The caller holds mu.
func (guard *Guard) turn(key ident.Fingerprint) time.Duration {
	own := rendezvousScore(key, guard.router)
	rank := 0
	for _, router := range guard.routers {
		if rendezvousScore(key, router) > own {
			rank++
		}
	}
	return time.Duration(min(rank, maxTurns)) * turnInterval
}
