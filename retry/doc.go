// Package retry decides whether a failed request may be sent to another
// upstream.
//
// It guarantees that a request that is not idempotent is sent again only after
// an attempt that certainly did not run, and that retries of work that may have
// run stay within a share of recent traffic. An upstream that declined a request
// did no work for it, so sending the request to the next upstream doesn't count
// as a retry. The caller's plan of upstreams to try limits such attempts.
package retry
