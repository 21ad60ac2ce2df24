package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/memory"
)

// startHeadServer returns the address of a server that accepts from inner, bounds heads in account
// and answers by handler.
func startHeadServer(t *testing.T, inner net.Listener, account *memory.Account, handler http.HandlerFunc) string {
	t.Helper()
	server := &http.Server{Handler: handler, ConnContext: forward.ConnContext, ConnState: new(forward.CallerConns).Track}
	serve(t, server, &forward.Listener{Listener: inner, Memory: account, MaxHeadBytes: func() int { return maxHeadBytes }})
	return inner.Addr().String()
}

// TestPipelinedBytesKeepTheHead guards against the first byte of a next request that releases
// the head of the running one, or that leaves it counted as unfinished, so that the connection
// may be closed while its request runs.
func TestPipelinedBytesKeepTheHead(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprint("together ", together), func(t *testing.T) {
			account := new(memory.Account)
			begun, end := make(chan struct{}, 2), make(chan struct{})
			address := startHeadServer(t, listen(t), account, func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				<-end
			})
			conn := dialHead(t, address)
			head := fmt.Sprintf("GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", headLines(14<<10))
			if together {
				head += "G"
			}
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			<-begun
			before := account.Held()
			if !together {
				if _, err := io.WriteString(conn, "G"); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(100 * time.Millisecond)
			if got := account.Held(); got == 0 || got != before {
				t.Errorf("got %d bytes held while the request runs, want the %d of its head", got, before)
			}
			if got := account.Unfinished(); got != 0 {
				t.Errorf("got %d unfinished holdings while the request runs, want none", got)
			}
			close(end)
			if _, err := io.WriteString(conn, "ET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			for number := range 2 {
				if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got answer %v and error %v to request %d, want 200", response, err, number)
				}
			}
			awaitHeld(t, account, "none after the answers", func(held int64) bool { return held == 0 })
		})
	}
}
