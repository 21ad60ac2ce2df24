// Package e2e tests complete fleets of separate processes, from the caller's
// request through router and sidecar to the upstream and back.
package e2e
