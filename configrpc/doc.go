// Package configrpc lets an entry router fetch the configuration from another
// router instead of the store. Rows are sent by net/rpc and compressed, because
// reading the configuration from the store takes much longer over the slow link
// of a small VM.
//
// A fetched row has the value and version that the store had. With it come all evacuated
// zones as of a version of the store, since the router that fetches it reads changes of the
// same table from that version on. The number of
// connections that a server handles at a time is bounded.
package configrpc
