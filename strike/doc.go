// Package strike keeps count of the requests that were running when upstreams
// crashed, and decides what may run next.
//
// It promises that a request struck twice runs only alone and on one designated
// upstream, that a request struck three times is refused, and that a success
// clears its strikes. A strike is one crash of one upstream.
package strike
