// Package settings defines the settings that operators make: a tree of paths
// with one subtree per team.
//
// It guarantees that a view never adopts an older revision of a team's subtree,
// that a change is validated completely before it is applied, and that a team can
// change only its own subtree. It does no I/O.
package settings
