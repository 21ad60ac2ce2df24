// Package strike keeps count of the requests that were running when upstreams
// crashed, and decides what may run next.
//
// It promises that a request struck on two upstreams runs only alone and on
// one designated upstream, that a request struck on three is refused, and that
// a success clears its strikes.
package strike
