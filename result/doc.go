// Package result is the registry of the numbered result codes that callers and
// operators receive.
//
// It guarantees that each code has one number, title, explanation, HTTP status and
// outcome. A code with the outcome NotRun is used only for requests that no
// upstream has run.
//
//go:generate ../.ci/pages
package result
