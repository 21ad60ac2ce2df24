// Package load generates load against routers and measures the answers.
//
// It guarantees that the same workload, seed and start time give the same
// requests, that every answer marked complete is compared with the text that
// the stand-in engine must produce, and that latencies are measured from the
// planned arrival of a request, so that a slow answer does not hide the delay
// of the requests queued behind it.
package load
