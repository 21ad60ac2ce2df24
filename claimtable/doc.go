// Package claimtable runs requests that are not idempotent under claims in the
// platform's table.
//
// It drives one claim.Machine per attempt, commits the claims of many attempts
// in one transaction, and answers queries of peers about an attempt. It keeps
// the guarantees of package claim: a request is forwarded only under its claim,
// and an attempt that was reported as not run never runs. Work that remains
// after the caller has its answer, such as recording the answer or releasing a
// claim, continues in the background until Close.
package claimtable
