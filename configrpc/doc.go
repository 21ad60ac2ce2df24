// Package configrpc lets entry routers give each other the configuration, by
// net/rpc and compressed: over the slow link of a small VM the store takes much
// longer.
//
// It promises to give the row as the store had it, and to serve a bounded number
// of callers at a time.
package configrpc
