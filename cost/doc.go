// Package cost predicts what a request costs an upstream, and how soon the upstream
// answers it, from what one router has seen of earlier requests.
//
// It learns, for each service, the time to the first event of a stream as a function
// of the tokens to prefill and those that are pending before them, and the time for each
// token of a stream as a function of the requests that run; for each upstream, how
// much faster or slower it is than the others of its service; and for each route and
// workspace, how long answers are. A new upstream counts as the mean of its service.
// Nothing is predicted of a service before it has answered minObservations requests.
//
// An observation that can't be true is dropped, one far from the prediction is limited,
// and the weight of each decays with its age. An upstream counts as different from its
// service only if that is significant, so that upstreams that are equal are predicted
// to be exactly equal. Memory is bounded. The package does no I/O and reads no clock.
package cost
