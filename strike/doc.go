// Package strike counts what was running when upstreams crashed, and decides how
// requests may run afterwards. A strike is one crash of one upstream while it ran a
// request, or a request whose prompt has a part.
//
// A request with two strikes runs only alone and on one designated upstream, a
// request with three is refused, and a success clears its strikes.
//
// Tracker does that for a sidecar, which sees its upstream crash, by the request
// alone. Guard does it for an entry router, which sees connections that break, and by
// two kinds of keys: the request as a whole, and each part of its prompt, which takes
// four and five strikes. A crash is blamed on the key with the most strikes that was
// running there. A refusal ends a while after the last crash, longer for each strike
// more; the request runs alone then, which clears it if it is sound. Routers propose
// runs alone to each other, so that one takes place at a time. Guard also withdraws the
// strikes of upstreams that run on, and holds what has to be sent to other routers and
// written to the store. Both keep a bounded number of strikes for a bounded time.
//
// The files, from the facts to the decisions: strike.go and crashes.go hold strikes and
// the crashes behind them, tracker.go the strikes of all keys, breaks.go when upstreams
// broke off, unanswered.go runs that may still turn out to have crashed theirs,
// successes.go what succeeded. evidence.go judges a request by these, designate.go and
// trial.go arrange runs alone, guard.go combines them, and report.go and rows.go
// hold what is sent to other routers and written to the store.
package strike
