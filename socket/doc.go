// Package socket asks the kernel what a connection has received and sent, and how it has ended. A
// process that is short of processor time may not have read what has arrived long ago.
package socket
