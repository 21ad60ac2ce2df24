// Package daemoncommand holds the command line of the entry router, and what the commands
// of all daemons share: flags, settings files, and the end on a signal.
//
// It is separate from the other commands so that a program with the entry router alone
// doesn't load the libraries of the operators' tools, which take time and memory at each
// start of a small VM.
package daemoncommand
