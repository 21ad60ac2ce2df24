// Package ident defines the types of identifiers and units that the other
// packages share.
//
// It guarantees that an identifier accepted by Valid can be used in an HTTP
// header, a URL path segment and a table key without escaping.
package ident
