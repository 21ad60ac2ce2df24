// Package strike counts the requests that were running when upstreams crashed,
// and decides how they may run afterwards. A strike is one crash of one
// upstream while it ran the request.
//
// A request with two strikes runs only alone and on one designated upstream, a
// request with three is refused, and a success clears the strikes of a request.
package strike
