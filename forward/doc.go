// Package forward is the HTTP front end of a router: it accepts requests from
// callers, chooses an upstream for each and relays the answer unchanged.
//
// It guarantees that
//   - a request that must not run twice is sent again only after proof that it
//     did not run;
//   - a status that means "not run" is true;
//   - an answer goes only to the request whose ID it carries;
//   - a truncated answer never looks complete;
//   - the disconnect of a caller cancels the work at the upstream;
//   - a request under which three upstreams crashed is sent to none;
//   - what an upstream sends without end is held in part only.
package forward
