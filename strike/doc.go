// Package strike counts the requests that were running when upstreams crashed,
// and decides how they may run afterwards. A strike is one crash of one
// upstream while it ran the request.
//
// A request with two strikes runs only alone and on one designated upstream, a
// request with three is refused, and a success clears the strikes of a request.
//
// Tracker does that for a sidecar, which sees its upstream crash. Guard does it for
// an entry router, which sees connections that break: it also withdraws the strikes
// of upstreams that run on, counts crashes that came together once, and holds what
// has to be told to other routers and written to the store. Both keep a bounded
// number of strikes for a bounded time.
package strike
