// Package answer encodes, reassembles and buffers the frames of an answer.
//
// It guarantees that a reader gets each frame once and in order, and that an
// answer counts as complete only after the end frame and every frame up to the
// count in it were received.
package answer
