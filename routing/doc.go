// Package routing builds a lookup table from an accepted configuration. The
// table finds the route, the service and the workspace of a request.
//
// It guarantees that a table is immutable, that a request gets the route of its
// host with the longest matching prefix, and that a CurrentTable never goes back
// to an older version. It does no I/O.
package routing
