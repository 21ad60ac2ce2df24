package framing_test

import (
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/framing"
)

// BenchmarkScan scans a request with a long prompt header and a body.
func BenchmarkScan(b *testing.B) {
	data := []byte("POST /a/b HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: 9c41d07be2a35f68\r\nHickoryhead-Prompt-Prefix: " +
		strings.Repeat("5c1e07a2:800,", 40) + "\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("a", 4000))
	var scanner framing.Scanner
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if !scanner.Scan(data) {
			b.Fatal("got a request refused")
		}
	}
}
