// Package placement decides which model each engine serves, and orders the
// engines' sidecars to load it.
//
// It moves no more engines than the settings require and never takes an engine
// from a model that has none to spare. Loads start no faster than the weight
// store allows. Once a later holder of the lease has given an engine an order,
// the engine's sidecar rejects every order of an earlier holder.
package placement
