// Package retry decides whether a request is tried again, and where.
//
// It promises that a request that is not idempotent is sent again only after a
// confirmed "not run", and that the retries of work that may have run stay
// within a share of recent traffic. An upstream that declined a request did no
// work for it, so going on to the next one is not a retry; the plan of tries ends it.
package retry
