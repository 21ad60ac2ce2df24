// Package evacuation keeps which availability zones are evacuated, so that their upstreams
// get no new requests.
//
// A zone is evacuated while the store has a row for it. The state at a router comes from its
// own reads of the store and from other routers, in any order. Each reading carries the
// revision of the store at which it was true, and an older one never overrides a newer one,
// so that all routers end with the state of the highest revision that any of them has seen.
package evacuation
