// Package explain reads the logs of routers and tells how a request went, or why
// requests of a span of time ended as they did.
//
// It promises to pass over lines that are not the log's, so that logs of several
// processes and plain text may be mixed. It does no I/O.
package explain
