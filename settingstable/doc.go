// Package settingstable keeps the operators' settings, their history and the
// teams' credentials in the platform's table and object store.
//
// It guarantees that a change is accepted at most once, atomically with its entry
// in the history, and only if the team's revision is still the one that the change
// is based on.
package settingstable
