// Package split decides which software version of a service's upstreams begins a
// stream, and derives which one began a stream that a caller takes up.
//
// What two versions write doesn't fit together, so a stream may continue only at the
// version that began it. The streams of a service are divided into cells by a hash of
// their prompts. A Split assigns each cell to one version, and all routers begin a
// stream only at the version of its cell: a router without any memory of the stream
// still knows where it may continue.
//
// A cell that was assigned to another version says so only once every router has
// adopted that, and all streams that were begun before are over. Until then Origins,
// which holds the versions of single attempts, is the only source. What neither knows
// is unknown; the package never guesses.
//
// The package does no I/O and reads no clock.
package split
