// Package faultproxy forwards TCP connections and injects faults into them, for tests and
// soaks: delay, data that is held back, resets, refusals, and connections that stay open and
// deliver nothing more.
package faultproxy
