// Package placement decides which model each engine shall hold and has the
// engines' sidecars see to it.
//
// It promises to move no more engines than the settings need, never to take one
// from a model that has no engine to spare, to load no faster than the weight
// store allows, and that no engine obeys an order of an earlier holder of the
// lease once a later one has given it an order.
package placement
