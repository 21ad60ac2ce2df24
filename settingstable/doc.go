// Package settingstable keeps the operators' settings, their history and the
// teams' credentials in the platform's table and object store.
//
// It promises that a change is accepted once, whole, with its entry in the
// history, and only on the revision that it was made for.
package settingstable
