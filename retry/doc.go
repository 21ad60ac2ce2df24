// Package retry decides whether a request is tried again, and where.
//
// It promises that a request that is not idempotent is sent again only after a
// confirmed "not run", and that retries stay within a share of recent traffic.
package retry
