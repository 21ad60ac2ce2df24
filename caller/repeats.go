package caller

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// keysRemembered is the number of idempotency keys that a router remembers.
const keysRemembered = 32768

// sentKeys remembers the keys of requests that this router gave to a sidecar and
// that may have run. A later sending with such a key is never told "not run":
// that would be true of the sending, but not of the action that the key names.
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
	cache, err := lru.New[sentKey, struct{}](keysRemembered)
	if err != nil {
		panic(err) // The size is positive, which is all that New asks for.
	}
	keys.cache = cache
}

// add remembers a key and reports whether it was known before.
func (keys *sentKeys) add(key sentKey) bool {
	keys.once.Do(keys.prepare)
	known, _ := keys.cache.ContainsOrAdd(key, struct{}{})
	return known
}

// contains reports whether a key is known.
func (keys *sentKeys) contains(key sentKey) bool {
	keys.once.Do(keys.prepare)
	return keys.cache.Contains(key)
}

// remove forgets a key.
func (keys *sentKeys) remove(key sentKey) {
	keys.once.Do(keys.prepare)
	keys.cache.Remove(key)
}

func (relay *relay) sentKey() sentKey {
	incoming := relay.incoming
	return sentKey{team: incoming.team, route: incoming.routeName, workspace: incoming.workspace, key: incoming.key}
}

// recall takes note where an earlier sending of the request may have run: its
// caller says so, or this router sent it.
func (relay *relay) recall() {
	if relay.incoming.route.Retryable() {
		return
	}
	relay.mayHaveRun = relay.incoming.repeat || relay.server.sent.contains(relay.sentKey())
}

// remember keeps the key of a request before it is given to a sidecar.
func (relay *relay) remember() {
	if relay.incoming.route.Retryable() || relay.firstSent {
		return
	}
	relay.firstSent = !relay.server.sent.add(relay.sentKey())
}

// forget drops the key of a request that was not run after all.
func (relay *relay) forget(code result.Code) {
	if relay.firstSent && code.Outcome() == result.NotRun {
		relay.server.sent.remove(relay.sentKey())
	}
}
