// Package answer puts the frames of an answer together.
//
// It promises that a reader sees each frame once and in order, and that an
// answer counts as whole only when every frame up to the count in its end
// frame has been seen.
package answer
