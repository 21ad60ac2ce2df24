// Package wait waits for a while, or as long as a context goes on.
//
// It promises to return at once when the context ends, and to leave no timer
// behind.
package wait
