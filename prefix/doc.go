// Package prefix decides whether a sidecar fetches the cached prompt prefix of a
// chat from the upstream that served the chat last, and which cached prefixes an
// upstream that is leaving sends to others.
//
// Fetches stay within a budget of bytes and a limit of concurrent fetches. After
// a failed fetch nothing is fetched from that upstream for a while. What an Index
// says about the engine's cache may be out of date; this costs at most one prefill
// or one failed request. The package doesn't read the clock or do I/O.
package prefix
