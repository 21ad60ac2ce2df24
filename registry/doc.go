// Package registry holds the upstreams that the platform's table lists and the
// pools that a router chooses from.
//
// An upstream that is leaving or removed is in no pool once the change is
// applied. The exception are rows that may have expired because upstreams could
// not renew them during an outage of the store: these upstreams stay in their
// pool until the store has been back for RejoinGracePeriod. The package does no
// I/O and reads no clock.
package registry
