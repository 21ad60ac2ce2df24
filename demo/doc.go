// Package demo runs every role and stand-in on loopback in one process, sends
// returning chats and confirmations through them, and sums up what happened.
//
// It promises that nothing it starts outlives Run, unless it is asked to keep
// the fleet up until its context ends.
package demo
