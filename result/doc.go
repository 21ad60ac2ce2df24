// Package result is the registry of numbered result codes.
//
// It promises that each code has one number, one title, one explanation, one
// HTTP status and one outcome, and that a code whose outcome is NotRun is only
// ever given for a request that no upstream has run.
//
//go:generate ../.ci/pages
package result
