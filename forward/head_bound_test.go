package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/memory"
)

// maxHeadBytes is the longest head that the configuration of these tests allows.
const maxHeadBytes = 20 << 10

// startHeadBoundServer returns the address of a server that bounds heads in account. It
// answers each request with 200.
func startHeadBoundServer(t *testing.T, account *memory.Account) string {
	t.Helper()
	return startHeadServer(t, listen(t), account, func(http.ResponseWriter, *http.Request) {})
}

func dialHead(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// headLines returns headers of at least count bytes.
func headLines(count int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < count; number++ {
		fmt.Fprintf(&lines, "X-%d: value\r\n", number)
	}
	return lines.String()
}

// awaitHeld waits until the account holds more or less than a number of bytes.
func awaitHeld(t *testing.T, account *memory.Account, what string, matches func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !matches(int64(account.Held())); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes held, want %s", account.Held(), what)
		}
	}
}

// TestLongHeadsAreBounded guards against heads that use up the memory, as net/http alone reads
// up to 1 MB of each, and against a head within the limits that is refused.
func TestLongHeadsAreBounded(t *testing.T) {
	tests := []struct {
		bytes, status int
	}{
		{1 << 10, http.StatusOK},
		{maxHeadBytes - 1000, http.StatusOK},
		{2*maxHeadBytes + 8<<10, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.bytes), func(t *testing.T) {
			account := new(memory.Account)
			conn := dialHead(t, startHeadBoundServer(t, account))
			reader := bufio.NewReader(conn)
			// Two requests on one connection.
			for range 2 {
				if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", headLines(test.bytes)); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != test.status {
					t.Errorf("got status %d for a head of %d bytes, want %d", response.StatusCode, test.bytes, test.status)
				}
				if test.status != http.StatusOK {
					break
				}
				awaitHeld(t, account, "none after the answer", func(held int64) bool { return held == 0 })
			}
			conn.Close()
			awaitHeld(t, account, "none after the end of the connection", func(held int64) bool { return held == 0 })
		})
	}
}

// TestStalledHeadsGiveWay guards against heads without an end that use up the memory, or that
// keep out one that ends.
func TestStalledHeadsGiveWay(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	address := startHeadBoundServer(t, account)
	for range 8 {
		stalled := dialHead(t, address)
		if _, err := fmt.Fprintf(stalled, "GET / HTTP/1.1\r\nHost: a\r\n%s", headLines(maxHeadBytes)); err != nil {
			t.Fatal(err)
		}
	}
	// Large holdings may take two thirds of the account: another head does not fit then.
	awaitHeld(t, account, "so much that another head does not fit", func(held int64) bool {
		return held+12*maxHeadBytes > int64(account.Limit)*2/3
	})
	time.Sleep(time.Second)
	if got := account.Held(); got > account.Limit {
		t.Errorf("got %d bytes held, want at most %d", got, account.Limit)
	}
	conn := dialHead(t, address)
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", headLines(maxHeadBytes)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("beside heads that have stalled: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d beside heads that have stalled, want 200", response.StatusCode)
	}
}
