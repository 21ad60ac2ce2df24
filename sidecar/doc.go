// Package sidecar holds both ends of the hop between a router and a sidecar.
package sidecar
