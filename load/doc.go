// Package load drives callers against routers and measures what they get.
//
// It promises that the same workload and seed give the same requests, that every
// answer which calls itself whole is compared with the text that the stand-in
// engine must give, and that latencies count from the planned arrival of a
// request, so that a slow answer does not hide the requests behind it.
package load
