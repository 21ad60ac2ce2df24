// Package quota keeps the rates of requests that upstreams name, by all routers
// together.
//
// A limit is shared by few enough routers that each of them may save up a whole
// request; they are picked by rendezvous hashing, so that routers which know of the
// same others agree without a message. A router without a share sends nothing to the
// upstream, and learns from the others when the limit changes or is gone. The package
// does no I/O and reads no clock, and holds at most one limit for each incarnation of
// an upstream.
//
// An upstream that asks a router for rest gets nothing from that router until the rest is
// over. Others have not been asked: they continue.
package quota
