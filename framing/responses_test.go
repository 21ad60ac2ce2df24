package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/framing"
)

// checkResponses checks data as responses to requests with method, at once and byte by byte, fails
// the test if the results differ, and returns how many bytes are in form.
func checkResponses(t *testing.T, method, data string) int {
	t.Helper()
	var atOnce, bytewise framing.Responses
	atOnce.Expect(method)
	bytewise.Expect(method)
	want, wantErr := atOnce.Check([]byte(data), nil)
	got := 0
	var err error
	for i := 0; i < len(data) && err == nil; i++ {
		var count int
		count, err = bytewise.Check([]byte{data[i]}, nil)
		got += count
	}
	if got != want || (err == nil) != (wantErr == nil) {
		t.Errorf("got %d bytes and error %v byte by byte for %q, want %d and %v, as at once", got, err, data, want, wantErr)
	}
	if (wantErr == nil) != (want == len(data)) || wantErr != nil && !errors.Is(wantErr, framing.ErrMalformed) {
		t.Errorf("got %d bytes of %d and error %v, want ErrMalformed only for bytes that are left out", want, len(data), wantErr)
	}
	return want
}

// TestOnlyStrictResponsesAreAccepted guards against a head that is no answer and that a caller gets
// as one (MIXED): the library passes on a line that it can't read, or reads as something else.
func TestOnlyStrictResponsesAreAccepted(t *testing.T) {
	const start, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n"
	tests := map[string]string{
		"blank before a colon":            start + length + "Bad : x\r\n\r\nabc",
		"blank in a name":                 start + length + "Ba d: x\r\n\r\nabc",
		"tab in a name":                   start + length + "Ba\td: x\r\n\r\nabc",
		"blank before a colon, first":     start + "Bad : x\r\n" + length + "\r\nabc",
		"blank behind the name of length": start + "Content-Length : 1\r\n\r\nabc",
		"blank behind the name of coding": start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"blank behind the name of type":   start + length + "Content-Type : text/event-stream\r\n\r\nabc",
		"control byte in a name":          start + length + "Ba\x01d: x\r\n\r\nabc",
		"zero byte in a name":             start + length + "Ba\x00d: x\r\n\r\nabc",
		"delete in a name":                start + length + "Ba\x7fd: x\r\n\r\nabc",
		"return in a name":                start + length + "Ba\rd: x\r\n\r\nabc",
		"byte beyond ASCII in a name":     start + length + "Ba\xe9d: x\r\n\r\nabc",
		"separator in a name":             start + length + "Ba(d: x\r\n\r\nabc",
		"empty name":                      start + length + ": x\r\n\r\nabc",
		"line without a colon":            start + length + "Bad\r\n\r\nabc",
		"folded line":                     start + length + "X: a\r\n b\r\n\r\nabc",
		"folded first line":               start + " X: a\r\n" + length + "\r\nabc",
		"control byte in a value":         start + length + "X: a\x01\r\n\r\nabc",
		"zero byte in a value":            start + length + "X: a\x00\r\n\r\nabc",
		"return in a value":               start + length + "X: a\rb\r\n\r\nabc",
		"line that ends with a feed":      start + length + "X: a\n\r\nabc",
		"head that ends with a feed":      start + length + "\nabc",
		"blank line before the head":      "\r\n" + start + length + "\r\nabc",
		"other protocol":                  "HTTQ/1.1 200 OK\r\n" + length + "\r\nabc",
		"protocol in lower case":          "http/1.1 200 OK\r\n" + length + "\r\nabc",
		"other version":                   "HTTP/2.0 200 OK\r\n" + length + "\r\nabc",
		"older version":                   "HTTP/0.9 200 OK\r\n" + length + "\r\nabc",
		"version with two digits":         "HTTP/1.10 200 OK\r\n" + length + "\r\nabc",
		"two blanks before the status":    "HTTP/1.1  200 OK\r\n" + length + "\r\nabc",
		"status of two digits":            "HTTP/1.1 20 OK\r\n" + length + "\r\nabc",
		"status of four digits":           "HTTP/1.1 2000 OK\r\n" + length + "\r\nabc",
		"status with a sign":              "HTTP/1.1 +20 OK\r\n" + length + "\r\nabc",
		"status with a letter":            "HTTP/1.1 2x0 OK\r\n" + length + "\r\nabc",
		"control byte in the reason":      "HTTP/1.1 200 O\x01K\r\n" + length + "\r\nabc",
		"return in the reason":            "HTTP/1.1 200 O\rK\r\n" + length + "\r\nabc",
		"status line that ends with a feed": "HTTP/1.1 200 OK\n" + length +
			"\r\nabc",
		"length twice":                  start + length + length + "\r\nabc",
		"two lengths":                   start + length + "Content-Length: 4\r\n\r\nabc",
		"signed length":                 start + "Content-Length: +3\r\n\r\nabc",
		"length and coding":             start + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other coding":                  start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"coding in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunk that ends with a feed":   start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
		"trailer with a blank":          start + "Transfer-Encoding: chunked\r\n\r\n0\r\nX : y\r\n\r\n",
		"out of form behind an interim": "HTTP/1.1 103 Early Hints\r\nBa d: x\r\n\r\n" + start + length + "\r\nabc",
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if checkResponses(t, http.MethodGet, data) == len(data) {
				t.Errorf("got %q accepted, want it refused", data)
			}
		})
	}
}

// TestSoundResponsesAreAccepted guards against sound answers that are refused, or that count as
// unfinished.
func TestSoundResponsesAreAccepted(t *testing.T) {
	const start, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n"
	const next = start + "Content-Length: 0\r\n\r\n"
	tests := []struct {
		name, method, data string
		// wantBetween is whether a further response may follow.
		wantBetween bool
	}{
		{"length", "GET", start + length + "\r\nabc" + next, true},
		{"length, body unfinished", "GET", start + length + "\r\nab", false},
		{"length of zero", "GET", start + "Content-Length: 0\r\n\r\n" + next, true},
		{"no length", "GET", start + "\r\nabc\x00\r\n\r\n : \n" + next, false},
		{"no length, older version", "GET", "HTTP/1.0 200 OK\r\n\r\nabc", false},
		{"chunks", "GET", start + "Transfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n" + next, true},
		{"interim answers", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + next, true},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n" + next, true},
		{"no content, with a length", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n" + next, true},
		{"not modified, with a length", "GET", "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n" + next, true},
		{"answer to HEAD", "HEAD", start + length + "\r\n", true},
		{"answer to HEAD without a length", "HEAD", start + "\r\n", true},
		{"answer to HEAD with a coding", "HEAD", start + "Transfer-Encoding: chunked\r\n\r\n", true},
		{"empty reason", "GET", "HTTP/1.1 200 \r\n" + length + "\r\nabc", true},
		{"no reason", "GET", "HTTP/1.1 200\r\n" + length + "\r\nabc", true},
		{"reason beyond ASCII", "GET", "HTTP/1.1 200 d\xe9j\xe0 vu\t!\r\n" + length + "\r\nabc", true},
		{"later minor version", "GET", "HTTP/1.2 200 OK\r\n" + length + "\r\nabc", true},
		{"error", "GET", "HTTP/1.1 599 X\r\n" + length + "\r\nabc", true},
		{"names of all token bytes", "GET", start + "x!#$%&'*+-.^_`|~09azAZ: y\r\n" + length + "\r\nabc", true},
		{"empty and odd values", "GET", start + "X:\r\nY: \t \r\nZ:a\tb \xff: c\t\r\n" + length + "\r\nabc", true},
		{"long head", "GET", start + strings.Repeat("X-More: y\r\n", 4000) + length + "\r\nabc", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := checkResponses(t, test.method, test.data); got != len(test.data) {
				t.Errorf("got %d bytes of %q accepted, want all %d", got, test.data, len(test.data))
			}
			var responses framing.Responses
			responses.Expect(test.method)
			_, _ = responses.Check([]byte(test.data), nil)
			if got := responses.Between(); got != test.wantBetween {
				t.Errorf("got a response ended: %t, want %t", got, test.wantBetween)
			}
		})
	}
}

// TestBytesBehindAResponse guards against a whole response that is lost because the bytes behind it
// are none.
func TestBytesBehindAResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	var responses framing.Responses
	count, err := responses.Check([]byte(whole+"garbage"), io.EOF)
	if count != len(whole) || !errors.Is(err, framing.ErrMalformed) || !responses.Malformed() || responses.Between() {
		t.Errorf("got %d bytes and error %v, want the whole response of %d and ErrMalformed", count, err, len(whole))
	}
}

// checkedReader reads responses that are checked.
type checkedReader struct {
	reader    io.Reader
	responses *framing.Responses
}

func (reader checkedReader) Read(buffer []byte) (int, error) {
	count, err := reader.reader.Read(buffer)
	return reader.responses.Check(buffer[:count], err)
}

// FuzzCheckedResponses guards against responses that the check and the library read differently:
// behind each response that the library reads to its end through the check, the check is between
// two responses, unless the response ends with its connection.
func FuzzCheckedResponses(f *testing.F) {
	for _, data := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nBa d: x\r\n\r\nabc",
		"HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc",
	} {
		f.Add([]byte(data), false)
		f.Add([]byte(data), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		var responses framing.Responses
		responses.Expect(method)
		// One byte a read, so that the check is never ahead of the library.
		reader := bufio.NewReaderSize(checkedReader{oneByteReader{bytes.NewReader(data)}, &responses}, 16)
		for {
			response, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return
			}
			if response.StatusCode == http.StatusSwitchingProtocols {
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return
			}
			bodiless := head || response.StatusCode < 200 || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
			unframed := !bodiless && response.ContentLength < 0 && len(response.TransferEncoding) == 0
			if got := responses.Between(); got == unframed && reader.Buffered() == 0 {
				t.Fatalf("got between two responses: %t behind a response with length %d and coding %v, in %q", got, response.ContentLength, response.TransferEncoding, data)
			}
		}
	})
}

// oneByteReader reads a byte at a time.
type oneByteReader struct{ reader io.Reader }

func (reader oneByteReader) Read(buffer []byte) (int, error) {
	return reader.reader.Read(buffer[:min(len(buffer), 1)])
}
