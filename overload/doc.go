// Package overload decides which requests an entry router sends to a pool of upstreams,
// and which it refuses at once because the pool has no room for them.
//
// The room of a model engine is what remains of its slots, of the share of its memory
// that running requests may take, and of the prefill that ends in time for the target
// of the request. A plain service has room for what it can answer by the deadline. While
// a pool is not short of room, nothing is refused and no upstream is left out.
//
// All routers see the same room, with figures that are up to Pool.Delay old. Each one
// therefore takes only its part of it: within that time it may add its share of the free
// room to what it has in flight. It may always replace requests of its own that ended.
//
// Less urgent requests leave a reserve to more urgent ones, and a workspace that sends far
// more than usual leaves one to the others.
//
// Controller.Decide is the decision, which a decider makes. It takes what is known of the pool
// (Pool), of the requests of the service (service) and of this router's part of the pool (view).
package overload
