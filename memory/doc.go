// Package memory bounds the bytes that a router holds for others: bodies of requests while
// they arrive and as long as they may be sent again, long heads, and answers that are read
// whole or that wait for a slow reader.
//
// It guarantees that all holdings together stay within the limit of the account, but for one
// large holding while there is no other; that a part of the limit is left to small holdings;
// and that, if there is no room, a slow unfinished holding is given up before one that makes
// progress. It does no I/O: the time comes in as an argument, and giving up is a call to its
// owner.
package memory
