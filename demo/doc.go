// Package demo runs every role on loopback in one process.
package demo
