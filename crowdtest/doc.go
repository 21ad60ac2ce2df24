// Package crowdtest tests routers on an entry VM against crowds of clients that use up memory
// or descriptors: with many large or unfinished bodies, heads that never end, connections
// that stay silent, and answers that are never read.
//
// The routers are processes without the race detector, which would multiply their memory. The
// settings, the crowds and the bounds don't depend on what was measured: the bounds follow
// from MemoryMB and the descriptor limit of the process. The tests run one at a time.
package crowdtest
