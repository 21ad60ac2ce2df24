// Package operator implements the HTTP API that operators use to read and
// change settings, with history, dry runs and undo, and a client for it.
//
// It guarantees that a change is reported as accepted only after it is stored in
// the platform's table, that exactly one of several concurrent changes to the
// same revision is accepted, and that a team can access only its own settings.
package operator
