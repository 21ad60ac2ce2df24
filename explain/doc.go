// Package explain reads the logs of routers and reports how a request was
// handled, or why the requests of a period failed.
//
// It guarantees to skip lines that are not log lines, so that the logs of
// several processes and plain text may be mixed. It opens no files: the caller
// passes the lines in and the writer for the report.
package explain
