package caller

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// maxSentKeys is the maximum number of idempotency keys that a router keeps.
const maxSentKeys = 32768

// sentKeys is the set of keys of requests that this router offered to a sidecar
// and that may have run; the least recently added keys are evicted. A later
// request with such a key never ends with outcome NotRun: that would be true of
// this request, but not of the action that the key identifies. The zero value is
// empty and safe for concurrent use.
type sentKeys struct {
	once  sync.Once
	cache *lru.Cache[sentKey, struct{}]
}

type sentKey struct {
	team      ident.TeamID
	route     ident.RouteName
	workspace ident.WorkspaceID
	key       ident.IdempotencyKey
}

func (keys *sentKeys) prepare() {
	cache, err := lru.New[sentKey, struct{}](maxSentKeys)
	if err != nil {
		panic(err) // New fails only for a size that is not positive.
	}
	keys.cache = cache
}

// add adds a key and reports whether it was already present.
func (keys *sentKeys) add(key sentKey) bool {
	keys.once.Do(keys.prepare)
	known, _ := keys.cache.ContainsOrAdd(key, struct{}{})
	return known
}

func (keys *sentKeys) contains(key sentKey) bool {
	keys.once.Do(keys.prepare)
	return keys.cache.Contains(key)
}

func (keys *sentKeys) remove(key sentKey) {
	keys.once.Do(keys.prepare)
	keys.cache.Remove(key)
}

func (relay *relay) sentKey() sentKey {
	incoming := relay.incoming
	return sentKey{team: incoming.team, route: incoming.routeName, workspace: incoming.workspace, key: incoming.key}
}

// checkRepeat sets mayHaveRun if an earlier request with the same key may have
// run, because the caller says so or this router has sent it.
func (relay *relay) checkRepeat() {
	if relay.incoming.route.Retryable() {
		return
	}
	relay.mayHaveRun = relay.incoming.repeat || relay.server.sent.contains(relay.sentKey())
}

// rememberKey records the key of a request before it is offered to a sidecar.
func (relay *relay) rememberKey() {
	if relay.incoming.route.Retryable() || relay.firstWithKey {
		return
	}
	relay.firstWithKey = !relay.server.sent.add(relay.sentKey())
}

// forgetKey removes the key if this was the first request with it and code says
// that it was not run.
func (relay *relay) forgetKey(code result.Code) {
	if relay.firstWithKey && code.Outcome() == result.NotRun {
		relay.server.sent.remove(relay.sentKey())
	}
}
