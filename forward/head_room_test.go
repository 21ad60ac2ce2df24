package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/memory"
)

// sendHead sends a request with one long header and returns the answer to it.
func sendHead(address, value string) (*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: %s\r\n\r\n", value); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// TestLongHeadersAtOnce guards against heads of legal size that use up the account of the
// smallest VM: a long header takes little more than its bytes.
func TestLongHeadersAtOnce(t *testing.T) {
	account := &memory.Account{Limit: 136_000_000 / 5}
	end := make(chan struct{})
	const callers = 300
	var begun sync.WaitGroup
	begun.Add(callers)
	address := startHeadServer(t, listen(t), account, func(http.ResponseWriter, *http.Request) {
		begun.Done()
		<-end
	})
	go func() {
		defer close(end)
		waited := make(chan struct{})
		go func() { defer close(waited); begun.Wait() }()
		select {
		case <-waited:
		case <-time.After(5 * time.Second):
		}
	}()
	value := strings.Repeat("p", 15<<10)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			if response, err := sendHead(address, value); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got answer %v and error %v, want 200", response, err)
			}
		})
	}
	group.Wait()
}

// TestHeadWithoutRoomIsRefused guards against a legal head that gets 400, which its caller
// takes as final, because there is no room for it.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	account := &memory.Account{Limit: 8 << 10}
	var kept memory.Holding
	if !account.Grow(time.Now(), &kept, 8<<10) {
		t.Fatal("got no room in an empty account, want some")
	}
	address := startHeadServer(t, listen(t), account, func(http.ResponseWriter, *http.Request) { t.Error("got a request, want none") })
	for range 20 {
		response, err := sendHead(address, strings.Repeat("p", 15<<10))
		if err != nil {
			t.Fatalf("got error %v, want a refusal", err)
		}
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("got status %d and Retry-After %q, want 503 with one", response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
	account.Release(&kept)
	awaitHeld(t, account, "none after the refusals", func(held int64) bool { return held == 0 })
}

// TestGivenUpHeadIsRefused guards against a head that is given up for another one without an
// answer.
func TestGivenUpHeadIsRefused(t *testing.T) {
	account := &memory.Account{Limit: 128 << 10}
	address := startHeadServer(t, listen(t), account, func(http.ResponseWriter, *http.Request) {})
	conn := dialHead(t, address)
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: %s", strings.Repeat("p", 8<<10)); err != nil {
		t.Fatal(err)
	}
	awaitHeld(t, account, "the head that stalls", func(held int64) bool { return held > 0 })
	time.Sleep(time.Second)
	var growing memory.Holding
	if !account.Grow(time.Now(), &growing, 120<<10) {
		t.Fatal("got no room in place of the head that stalls, want it")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got answer %v and error %v, want 503", response, err)
	}
}
