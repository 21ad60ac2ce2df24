// Package balance chooses the upstream of a request.
//
// It promises that requests with the same shared prompt go to the same upstream
// while that one is healthy and below the bound, that no upstream at the bound
// is chosen while another one is below it, and that all routers with the same
// pool and the same loads choose alike. It does no I/O and reads no clock.
//
// The load that it answers is what the routers tell each other that they have
// in flight; without that, what the upstream reported last and the router's own
// changes since.
package balance
