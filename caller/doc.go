// Package caller serves callers over HTTP and places their requests.
package caller
