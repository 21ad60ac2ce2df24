package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/framing"
)

// scanBytewise scans data at once and byte by byte, fails the test if the results differ, and
// returns the result.
func scanBytewise(t *testing.T, data string) bool {
	t.Helper()
	var atOnce, bytewise framing.Scanner
	want, got := atOnce.Scan([]byte(data)), true
	for i := range len(data) {
		got = bytewise.Scan([]byte{data[i]})
	}
	if got != want {
		t.Errorf("got %t byte by byte for %q, want %t, as at once", got, data, want)
	}
	return want
}

// TestOnlyStrictRequestsAreAccepted guards against a request hidden in the body of another one
// (UNASKED): the router and its HTTP library read a line differently that isn't in the form of the
// protocol, such as a folded one, and saw messages begin in different places.
func TestOnlyStrictRequestsAreAccepted(t *testing.T) {
	const start, host = "POST / HTTP/1.1\r\n", "Host: a\r\n"
	const chunked = start + host + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"folded line":                    start + host + "X-Note: a\r\n Content-Length: 3\r\n\r\n",
		"line folded with a tab":         start + host + "X-Note: a\r\n\tContent-Length: 3\r\n\r\n",
		"folded line without a colon":    start + host + "X-Note: a\r\n b\r\n\r\n",
		"first header folded":            start + " Host: a\r\n\r\n",
		"folded line in HTTP/1.0":        "POST / HTTP/1.0\r\n" + host + "X-Note: a\r\n Content-Length: 3\r\n\r\n",
		"line of blanks":                 start + host + " \r\n\r\n",
		"blank before the colon":         start + host + "Content-Length : 3\r\n\r\n",
		"tab before the colon":           start + host + "X-Note\t: 3\r\n\r\n",
		"blank in a name":                start + host + "Content Length: 3\r\n\r\n",
		"header without a name":          start + host + ": 3\r\n\r\n",
		"header without a colon":         start + host + "X-Note\r\n\r\n",
		"control byte in a name":         start + host + "X\x01Note: a\r\n\r\n",
		"byte beyond ASCII in a name":    start + host + "X\xffNote: a\r\n\r\n",
		"control byte in a value":        start + host + "X-Note: \x00a\r\n\r\n",
		"delete in a value":              start + host + "X-Note: \x7f\r\n\r\n",
		"carriage return in a value":     start + host + "X-Note: a\rContent-Length: 3\r\n\r\n",
		"line that ends with a feed":     start + host + "X-Note: a\nContent-Length: 3\r\n\r\n",
		"head that ends with a feed":     start + host + "\n",
		"two carriage returns":           start + host + "\r\r\n",
		"no version":                     "POST /\r\n" + host + "\r\n",
		"other version":                  "POST / HTTP/2.0\r\n" + host + "\r\n",
		"version in lower case":          "POST / http/1.1\r\n" + host + "\r\n",
		"version with two digits":        "POST / HTTP/1.10\r\n" + host + "\r\n",
		"two blanks":                     "POST  / HTTP/1.1\r\n" + host + "\r\n",
		"blank behind the version":       "POST / HTTP/1.1 \r\n" + host + "\r\n",
		"blank in the target":            "POST /a b HTTP/1.1\r\n" + host + "\r\n",
		"control byte in the target":     "POST /a\x0b HTTP/1.1\r\n" + host + "\r\n",
		"blank before the method":        " POST / HTTP/1.1\r\n" + host + "\r\n",
		"separator in the method":        "PO(ST / HTTP/1.1\r\n" + host + "\r\n",
		"line feed before the request":   "\n" + start + host + "\r\n",
		"length without digits":          start + host + "Content-Length: \r\n\r\n",
		"length in hexadecimal":          start + host + "Content-Length: 0x3\r\n\r\n",
		"negative length":                start + host + "Content-Length: -3\r\n\r\n",
		"blank in a length":              start + host + "Content-Length: 3 3\r\n\r\n",
		"underscore in a length":         start + host + "Content-Length: 1_0\r\n\r\n",
		"length beyond all sizes":        start + host + "Content-Length: 99999999999999999999\r\n\r\n",
		"very many zeros in a length":    start + host + "Content-Length: " + strings.Repeat("0", 600) + "3\r\n\r\n",
		"very many blanks in a length":   start + host + "Content-Length: 3" + strings.Repeat(" ", 600) + "\r\n\r\n",
		"same length twice":              start + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"list of encodings":              start + host + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"encoding in quotes":             start + host + "Transfer-Encoding: \"chunked\"\r\n\r\n",
		"encoding with a parameter":      start + host + "Transfer-Encoding: chunked;a=b\r\n\r\n",
		"encoding with a letter like k":  start + host + "Transfer-Encoding: chun\u212aed\r\n\r\n",
		"encoding in HTTP/1.0":           "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n",
		"chunk without a size":           chunked + "\r\n",
		"chunk with an extension only":   chunked + ";a=b\r\n",
		"blank before the size":          chunked + " 3\r\nabc\r\n",
		"sign before the size":           chunked + "+3\r\nabc\r\n",
		"blank behind the size":          chunked + "3 \r\nabc\r\n",
		"size that ends with a feed":     chunked + "3\nabc\r\n",
		"size of very many digits":       chunked + strings.Repeat("0", 17) + "3\r\nabc\r\n",
		"size beyond all sizes":          chunked + "ffffffffffffffff\r\n",
		"return in an extension":         chunked + "3;a\rb\r\nabc\r\n",
		"chunk that ends with a feed":    chunked + "3\r\nabc\n0\r\n\r\n",
		"chunk shorter than its size":    chunked + "3\r\nab\r\n0\r\n\r\n",
		"folded trailer":                 chunked + "0\r\nX: y\r\n z\r\n\r\n",
		"first trailer folded":           chunked + "0\r\n X: y\r\n\r\n",
		"trailer without a colon":        chunked + "0\r\nX\r\n\r\n",
		"blank before a trailer's colon": chunked + "0\r\nX : y\r\n\r\n",
		"trailers that end with a feed":  chunked + "0\r\nX: y\r\n\n",
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if scanBytewise(t, data) {
				t.Errorf("got %q accepted, want it refused", data)
			}
		})
	}
}

// TestSoundRequestsAreAccepted guards against requests in the form of the protocol that are refused.
func TestSoundRequestsAreAccepted(t *testing.T) {
	const start, host = "POST /a?b=c HTTP/1.1\r\n", "Host: a\r\n"
	const chunked = start + host + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"no headers":                 "GET / HTTP/1.1\r\n\r\n",
		"older version":              "GET / HTTP/1.0\r\n" + host + "\r\n",
		"later minor version":        "GET / HTTP/1.2\r\n" + host + "\r\n",
		"absolute target":            "GET http://a/b HTTP/1.1\r\n" + host + "\r\n",
		"all of the server":          "OPTIONS * HTTP/1.1\r\n" + host + "\r\n",
		"method of its own":          "M-SEARCH!#$%&'*+-.^_`|~ / HTTP/1.1\r\n" + host + "\r\n",
		"target beyond ASCII":        "GET /caf\xc3\xa9 HTTP/1.1\r\n" + host + "\r\n",
		"empty line before":          "\r\n" + start + host + "\r\n",
		"empty line behind a body":   start + "Content-Length: 3\r\n\r\nabc\r\n" + start + "\r\n",
		"name of all token bytes":    start + "X!#$%&'*+-.^_`|~09azAZ: a\r\n\r\n",
		"empty value":                start + host + "X-Note:\r\nX-More: \t \r\n\r\n",
		"value without a blank":      start + host + "X-Note:a\r\n\r\n",
		"blanks and tabs in a value": start + host + "X-Note: \t a \t b \t \r\n\r\n",
		"value beyond ASCII":         start + host + "X-Note: caf\xc3\xa9 \xff\r\n\r\n",
		"colons in a value":          start + host + "X-Note: a: Content-Length: 3\r\n\r\n",
		"names that are alike":       start + host + "Content-Length-X: a\r\nX-Content-Length: b\r\nTransfer-Encodings: c\r\nContent-Lengt: d\r\n\r\n",
		"long header":                start + host + "X-Note: " + strings.Repeat("a b", 9000) + "\r\n\r\n",
		"many headers":               start + strings.Repeat("X-Note: a\r\n", 900) + "\r\n",
		"length of zero":             start + host + "Content-Length: 0\r\n\r\n" + start + "\r\n",
		"zeros before a length":      start + host + "content-length:\t0003 \t\r\n\r\nabc" + start + "\r\n",
		"body that is a request":     start + "Content-Length: 19\r\n\r\nGET / HTTP/1.1\r\n :\n" + start + "\r\n",
		"encoding in capitals":       start + host + "TRANSFER-ENCODING: \tChunked \r\n\r\n0\r\n\r\n",
		"size with zeros":            chunked + "0003\r\nabc\r\n000\r\n\r\n" + start + "\r\n",
		"size in either case":        chunked + "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n" + start + "\r\n",
		"extensions":                 chunked + "3;a=b;c=\"d; e\"\r\nabc\r\n0;f\r\n\r\n" + start + "\r\n",
		"blank before an extension":  chunked + "3 \t;a = b\r\nabc\r\n0\r\n\r\n" + start + "\r\n",
		"trailers":                   chunked + "0\r\nX: y\r\nContent-Length: 7\r\n\r\n" + start + "\r\n",
		"data that looks like an end": chunked + "7\r\n0\r\n\r\n\r\n\r\n0\r\n\r\n" + start +
			"\r\n",
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if !scanBytewise(t, data) {
				t.Errorf("got %q refused, want it accepted", data)
			}
		})
	}
}

// messageEnds returns where the messages end that the scanner accepts, and how many bytes it has
// accepted.
func messageEnds(data []byte) (ends []int, accepted int) {
	var scanner framing.Scanner
	ended := 0
	for i := range data {
		if !scanner.Scan(data[i : i+1]) {
			return ends, i
		}
		if !scanner.InBody() && scanner.Heads() > ended {
			ended = scanner.Heads()
			ends = append(ends, i+1)
		}
	}
	return ends, len(data)
}

// libraryEnds returns where the requests end that net/http reads from data, up to the first that
// it refuses or that is cut. Like its server it skips line ends behind the body of a POST request.
func libraryEnds(data []byte) []int {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	var ends []int
	for method := ""; ; {
		if method == http.MethodPost {
			skipLineEnds(reader)
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return ends
		}
		method = request.Method
		ends = append(ends, len(data)-source.Len()-reader.Buffered())
	}
}

// skipLineEnds skips line ends within the next four bytes, as net/http's server does.
func skipLineEnds(reader *bufio.Reader) {
	next, _ := reader.Peek(4)
	count := len(next) - len(bytes.TrimLeft(next, "\r\n"))
	_, _ = reader.Discard(count)
}

// FuzzMessagesEndWhereTheLibrarySeesIt guards against a request hidden in another one: in any
// bytes, the messages that the scanner accepts and that net/http takes end in the same places.
func FuzzMessagesEndWhereTheLibrarySeesIt(f *testing.F) {
	const start = "POST / HTTP/1.1\r\nHost: a\r\n"
	for _, data := range []string{
		start + "Content-Length: 3\r\n\r\nabc" + start + "\r\n",
		start + "X-Note: a\r\n Content-Length: 45\r\n\r\n" + start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n" + start + "\r\n",
		"GET / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n\r\n\r\nGET * HTTP/1.1\r\nHost: a\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na" + start + "\r\n",
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ends, accepted := messageEnds(data)
		for i, want := range libraryEnds(data) {
			switch {
			case i < len(ends) && ends[i] != want:
				t.Fatalf("got the end of message %d at %d, want %d, where net/http sees it, in %q", i, ends[i], want, data)
			case i >= len(ends) && want <= accepted:
				t.Fatalf("got no end of message %d, and %d bytes accepted, want it at %d, where net/http sees it, in %q", i, accepted, want, data)
			}
		}
	})
}
