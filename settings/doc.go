// Package settings holds the operators' settings: a tree under paths with one
// subtree per team.
//
// It promises that a daemon never adopts an older revision of a team's subtree,
// that a change is checked whole before it is accepted, and that a team changes
// only its own subtree. It does no I/O.
package settings
