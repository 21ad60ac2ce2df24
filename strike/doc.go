// Package strike counts what was running when upstreams crashed, and decides how
// requests may run afterwards. A strike is one crash of one upstream while it ran a
// request, or a request whose prompt has a part.
//
// A request with two strikes runs only alone and on one designated upstream, a
// request with three is refused, and a success clears its strikes.
//
// Tracker does that for a sidecar, which sees its upstream crash, by the request
// alone. Guard does it for an entry router, which sees connections that break. It
// counts by two kinds of keys, the request as a whole and each part of its prompt,
// and refuses the key that explains the crashes: a crash is blamed on a key only if no
// other key that was running there was at as many crashes, and less so if a younger
// request was running. More crashes are needed after a success of the key and among
// unexplained ones. A refused key may run once more at some time, which clears it if it
// is sound. Guard also withdraws the strikes of upstreams
// that run on, and holds what has to be told to other routers and written to the
// store. Both keep a bounded number of strikes for a bounded time.
package strike
