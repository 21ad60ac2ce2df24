// Package operator serves operators over HTTP: settings under paths, their
// history, dry runs and undo.
//
// It promises that a change is answered as accepted only once the platform's
// table holds it, that of operators who race on one revision exactly one is
// accepted, and that a team reaches only its own settings.
package operator
