// Package wait provides sleeps and periodic calls that end with a context.
//
// Waits end as soon as the context does, and no timer keeps running afterwards.
package wait
