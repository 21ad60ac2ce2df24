// Package claimtable runs requests that are not idempotent against the claims
// in the platform's table.
//
// It drives one claim.Machine for each attempt, commits the claims of many
// attempts in one transaction, and answers peers that ask what became of an
// attempt. It promises what package claim promises: a request is forwarded only
// under its claim, and an attempt that was told to be not run never is. Work
// that remains after the caller has its answer, such as recording it or taking
// a claim back, goes on in the background until Close.
package claimtable
