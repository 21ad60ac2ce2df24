package framing_test

import (
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/framing"
)

// TestScan scans each input at once and byte by byte.
func TestScan(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	tests := []struct {
		name string
		data string
		want bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"length", head + "Content-Length: 3\r\n\r\nabc", true},
		{"two messages", head + "Content-Length: 3\r\n\r\nabc" + head + "Content-Length: 1\r\n\r\na", true},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + head + "\r\n", true},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n" + head + "\r\n", true},
		{"body that looks like a head", head + "Content-Length: 40\r\n\r\n" + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", true},
		{"length and encoding", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"encoding and length", head + "transfer-encoding: chunked\r\ncontent-length : 3\r\n\r\n", false},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", false},
		{"list of lengths", head + "Content-Length: 3, 3\r\n\r\n", false},
		{"signed length", head + "Content-Length: +3\r\n\r\n", false},
		{"other encoding", head + "Transfer-Encoding: xchunked\r\n\r\n", false},
		{"encoding twice", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"second message", head + "Content-Length: 3\r\n\r\nabc" + head + "Content-Length: x\r\n\r\n", false},
		{"chunk longer than its size", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", false},
		{"chunk size is not a number", head + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n", false},
		{"line feed behind a body", head + "Content-Length: 3\r\n\r\nabc\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var atOnce, bytewise framing.Scanner
			if got := atOnce.Scan([]byte(test.data)); got != test.want {
				t.Errorf("got %v for all bytes at once, want %v", got, test.want)
			}
			got := true
			for _, part := range strings.Split(test.data, "") {
				got = bytewise.Scan([]byte(part))
			}
			if got != test.want {
				t.Errorf("got %v byte by byte, want %v", got, test.want)
			}
		})
	}
}

// FuzzScan checks that the result does not depend on where the input is split.
func FuzzScan(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET"), 40)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		var atOnce, inParts framing.Scanner
		want := atOnce.Scan(data)
		split = min(max(split, 0), len(data))
		inParts.Scan(data[:split])
		if got := inParts.Scan(data[split:]); got != want {
			t.Errorf("got %v in two parts, want %v", got, want)
		}
	})
}

// TestHeads guards against a head that is taken for unfinished, or for the end of the one
// before, when a read brings the end of one head and the beginning of the next.
func TestHeads(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	var scanner framing.Scanner
	for _, step := range []struct {
		data                 string
		heads, bytes, fields int
	}{
		{head[:10], 0, 10, 0},
		{head[10:] + "G", 1, 1, 0},
		{head[1:] + head, 3, 0, 0},
		{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", 4, 0, 0},
		{"b" + head[:3], 4, 3, 0},
		{head[3:25] + "X: y\r\n", 4, 31, 2},
	} {
		scanner.Scan([]byte(step.data))
		if scanner.Heads() != step.heads || scanner.HeadBytes() != step.bytes || scanner.HeadFields() != step.fields {
			t.Errorf("after %q: got %d heads, %d bytes and %d fields, want %d, %d and %d", step.data, scanner.Heads(), scanner.HeadBytes(), scanner.HeadFields(), step.heads, step.bytes, step.fields)
		}
	}
}

// TestInBody guards against a body that counts as read to its end before it is, or not after.
func TestInBody(t *testing.T) {
	var scanner framing.Scanner
	for _, step := range []struct {
		data string
		want bool
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 2\r\n", false},
		{"\r\n", true},
		{"a", true},
		{"b", false},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", true},
		{"\r\n", false},
		{"GET / HTTP/1.1\r\n\r\n", false},
	} {
		scanner.Scan([]byte(step.data))
		if got := scanner.InBody(); got != step.want {
			t.Errorf("after %q: got in a body %t, want %t", step.data, got, step.want)
		}
	}
}
