// Package prefix decides whether a sidecar fetches the cached prompt prefix of
// a chat from the upstream that served it last, and which prefixes a leaving
// upstream passes on.
//
// It promises that fetches stay within a budget of bytes and a number running
// at once, that a holder that failed is left alone for a while, and that what
// it believes to be cached only ever spares a request: a wrong belief costs one
// prefill or one vain request and nothing else. It reads no clock and does no
// I/O.
package prefix
