// Package ident holds the named types for identifiers and units that every
// other package shares.
//
// It promises that an identifier accepted by its Valid method is safe to place
// in an HTTP header, a URL path segment and a table key without escaping.
package ident
