// Package quota keeps the rates of requests that upstreams name, and those of cold
// upstreams, by all routers together.
//
// A limit is shared by few enough routers that each of them may save up a whole
// request; they are picked by rendezvous hashing, so that routers which know of the
// same others agree without a message. A router without a share sends nothing to the
// upstream, and learns from the others when the limit changes or is gone. The package
// does no I/O and reads no clock, and holds at most one limit for each incarnation of
// an upstream.
//
// An upstream is cold for a time after it has started or come back (Cold). Its rate holds
// for any second, where a limit holds over four: the number of routers that share it
// follows from what a second allows, they are picked among all that are registered, also
// those that are silent, and none uses a share before the others know of it. docs/design/cold.md
// has the reasons. Without a ColdRule in force nothing of this is done.
//
// An upstream that asks a router for rest gets nothing from that router until the rest is
// over. Others have not been asked: they continue.
package quota
