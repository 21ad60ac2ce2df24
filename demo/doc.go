// Package demo runs every role and stand-in on loopback in one process, sends
// multi-turn chats and confirmations through them, and prints a summary.
//
// Nothing that Run starts outlives it. With Options.Keep, Run keeps the fleet up
// until its context ends.
package demo
