// Package routing turns an accepted configuration into a table that finds the
// route, the service and the workspace of a request.
//
// It promises that a table never changes once it is built, that the route of a
// request is the one with the longest prefix of its host, and that a Holder
// never goes back to an older version. It does no I/O.
package routing
