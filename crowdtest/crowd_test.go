package crowdtest_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdTime is how long the checks wait for the members of a crowd to do their part.
	crowdTime = 10 * time.Second
	// settleTime is how long the router gets to read what the members have sent.
	settleTime = time.Second
	// answerTimeout is how long an ordinary caller tries to get an answer.
	answerTimeout = 20 * time.Second
	// ordinaryBytes is the length of the body of an ordinary request.
	ordinaryBytes = 64 << 10
	// bodyMembers hold 384 MB if each keeps a body of the largest size.
	bodyMembers = 96
	// silentMembers are more than the descriptors of the process.
	silentMembers = 600
)

// crowd is a number of clients that do the same and then leave their connections open.
type crowd struct {
	members []net.Conn
	sending sync.WaitGroup
}

// startCrowd opens count connections to address and calls member with each and its number. A
// member returns once it has done its part, or once its connection has failed.
func startCrowd(t *testing.T, address string, count int, member func(conn net.Conn, number int)) *crowd {
	t.Helper()
	crowd := new(crowd)
	t.Cleanup(crowd.close)
	for number := range count {
		conn, err := net.DialTimeout("tcp", address, answerTimeout)
		if err != nil {
			t.Fatalf("opening connection %d of the crowd: %v", number, err)
		}
		crowd.members = append(crowd.members, conn)
		crowd.sending.Go(func() { member(conn, number) })
	}
	return crowd
}

// wait waits until all members have done their part, or crowdTime is over, and settleTime.
func (crowd *crowd) wait() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		crowd.sending.Wait()
	}()
	select {
	case <-done:
	case <-time.After(crowdTime):
	}
	time.Sleep(settleTime)
}

func (crowd *crowd) close() {
	for _, conn := range crowd.members {
		conn.Close()
	}
	crowd.sending.Wait()
}

// head returns the head of a request to path. framing is the header line about its body.
func head(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: crowd\r\nHickoryhead-Deadline-Ms: 40000\r\n" + framing + "\r\n\r\n"
}

func announce(length int) string { return fmt.Sprintf("Content-Length: %d", length) }

const chunked = "Transfer-Encoding: chunked"

// filler is what bodies consist of.
var filler = bytes.Repeat([]byte("x"), 1<<20)

// writeBody writes count bytes of a body without framing.
func writeBody(conn net.Conn, count int) error {
	for count > 0 {
		length := min(count, len(filler))
		if _, err := conn.Write(filler[:length]); err != nil {
			return err
		}
		count -= length
	}
	return nil
}

// writeChunks writes chunks of size bytes until they hold at least count bytes together.
func writeChunks(conn net.Conn, size, count int) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, filler[:size])
	// Small chunks are written together, because each write takes a system call.
	together := max((64<<10)/size, 1)
	chunks := []byte(strings.Repeat(chunk, together))
	for sent := 0; sent < count; sent += size * together {
		if _, err := conn.Write(chunks); err != nil {
			return err
		}
	}
	return nil
}

// announced returns a member that announces length bytes and sends count of them.
func announced(path string, length, count int) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		if _, err := io.WriteString(conn, head(path, announce(length))); err == nil {
			_ = writeBody(conn, count)
		}
	}
}

// inPieces sends all but a byte of a body of the largest size, in pieces with pauses.
func inPieces(conn net.Conn, _ int) {
	if _, err := io.WriteString(conn, head("/plain/x", announce(maxBodyBytes))); err != nil {
		return
	}
	const piece = 64 << 10
	for left := maxBodyBytes - 1; left > 0; left -= piece {
		if err := writeBody(conn, min(left, piece)); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// inChunks returns a member that sends count bytes in chunks of size bytes, and no end.
func inChunks(path string, size, count int) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		if _, err := io.WriteString(conn, head(path, chunked)); err == nil {
			_ = writeChunks(conn, size, count)
		}
	}
}

// endlessHead sends a head of many short lines that does not end.
func endlessHead(conn net.Conn, _ int) {
	if _, err := io.WriteString(conn, "POST /plain/x HTTP/1.1\r\nHost: a.example\r\n"); err != nil {
		return
	}
	for number := range 60 << 10 {
		if _, err := fmt.Fprintf(conn, "X-%d: v\r\n", number); err != nil {
			return
		}
	}
}

// byteAtATime announces a body and sends a byte of it at a time.
func byteAtATime(conn net.Conn, _ int) {
	if _, err := io.WriteString(conn, head("/plain/x", announce(ordinaryBytes))); err != nil {
		return
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := conn.Write(filler[:1]); err != nil {
			return
		}
	}
}

// silent sends nothing.
func silent(net.Conn, int) {}

// idle sends an ordinary request, reads its answer and leaves the connection open.
func idle(conn net.Conn, _ int) {
	if _, err := io.WriteString(conn, head("/plain/x", announce(0))); err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 1))
}

// alternating returns a member that is first or second by its number.
func alternating(first, second func(net.Conn, int)) func(net.Conn, int) {
	return func(conn net.Conn, number int) {
		if number%2 == 0 {
			first(conn, number)
			return
		}
		second(conn, number)
	}
}

// ordinaryClient sends each request on a connection of its own.
var ordinaryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTimeout}

// post sends a request with a body and reports whether it was served.
func (router *router) post(path string, body io.Reader, length int) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.addresses.Callers+path, body)
	if err != nil {
		return err
	}
	request.Host = "a.example"
	request.ContentLength = int64(length)
	request.Header.Set("Hickoryhead-Attempt-Id", "ordinary")
	request.Header.Set("Hickoryhead-Deadline-Ms", "20000")
	response, err := ordinaryClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := fmt.Sprint(length); response.StatusCode != http.StatusOK || string(answer) != want {
		return fmt.Errorf("got status %d and answer %q, want 200 and %q", response.StatusCode, answer, want)
	}
	return nil
}

// waitServing fails the test unless an ordinary request is served within limit.
func (router *router) waitServing(what string, limit time.Duration) {
	router.t.Helper()
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = router.post("/plain/x", bytes.NewReader(filler[:ordinaryBytes]), ordinaryBytes); err == nil {
			return
		}
	}
	router.t.Errorf("got no %s: %v", what, err)
}

// TestCrowd guards against crowds of clients that end a router, because it runs out of memory
// or descriptors, or that keep it from answering others.
func TestCrowd(t *testing.T) {
	tests := []struct {
		name    string
		members int
		member  func(conn net.Conn, number int)
	}{
		{"announced bodies, a byte short", bodyMembers, announced("/plain/x", maxBodyBytes, maxBodyBytes-1)},
		{"announced bodies in pieces, a byte short", bodyMembers, inPieces},
		{"announced bodies, half", bodyMembers, announced("/plain/x", maxBodyBytes, maxBodyBytes/2)},
		{"announced bodies, nothing after the head", silentMembers, announced("/plain/x", maxBodyBytes, 0)},
		{"large chunks without the last one", bodyMembers, inChunks("/plain/x", 1<<20, maxBodyBytes)},
		{"large chunks, half", bodyMembers, inChunks("/plain/x", 1<<20, maxBodyBytes/2)},
		{"very small chunks without the last one", bodyMembers, inChunks("/plain/x", 8, maxBodyBytes-(64<<10))},
		{"chunked, nothing after the head", silentMembers, inChunks("/plain/x", 1<<20, 0)},
		{"bodies far over the limit, announced or not", 2 * bodyMembers, alternating(
			announced("/plain/x", 16*maxBodyBytes, 16*maxBodyBytes), inChunks("/plain/x", 1<<20, 16*maxBodyBytes))},
		{"heads that never end", bodyMembers, endlessHead},
		{"bodies a byte at a time", silentMembers, byteAtATime},
		{"connections that send nothing", silentMembers, silent},
		{"idle connections", silentMembers, idle},
		{"whole bodies while the upstream is slow to accept", bodyMembers, announced("/plain/"+slowPath, maxBodyBytes, maxBodyBytes)},
		{"whole chunked bodies while the upstream is slow to accept", bodyMembers, func(conn net.Conn, number int) {
			inChunks("/plain/"+slowPath, 1<<20, maxBodyBytes)(conn, number)
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}},
		{"long answers that are not read", silentMembers, announced("/plain/"+longPath, 0, 0)},
		{"long streams that are not read", silentMembers, announced("/stream/"+longPath, 0, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := startRouter(t)
			crowd := startCrowd(t, router.addresses.Callers, test.members, test.member)
			crowd.wait()
			router.waitServing("answer to an ordinary request beside the crowd", answerTimeout)
			router.check()
			crowd.close()
			router.waitServing("answer to an ordinary request after the crowd", answerTimeout)
			router.check()
		})
	}
}

// TestCrowdAtOtherListeners guards against clients of the listeners for readiness, metrics and
// other routers that use up the descriptors.
func TestCrowdAtOtherListeners(t *testing.T) {
	listeners := []struct {
		name    string
		address func(router *router) string
	}{
		{"readiness", func(router *router) string { return router.addresses.Ready }},
		{"metrics", func(router *router) string { return router.addresses.Internal }},
		{"other routers", func(router *router) string { return router.addresses.Peers }},
	}
	for _, listener := range listeners {
		for _, member := range []struct {
			name    string
			members int
			member  func(conn net.Conn, number int)
		}{
			{"silent", silentMembers, silent},
			{"without end", silentMembers, func(conn net.Conn, number int) {
				// Other routers send binary messages, for which this is a length far too large.
				endlessHead(conn, number)
			}},
		} {
			t.Run(listener.name+", "+member.name, func(t *testing.T) {
				router := startRouter(t)
				crowd := startCrowd(t, listener.address(router), member.members, member.member)
				crowd.wait()
				router.waitServing("answer to an ordinary request beside the crowd", answerTimeout)
				router.check()
			})
		}
	}
}

// pacedReader delivers count bytes at the rate of a link of 10 Mbit/s that loses packets, and
// stalls once for some seconds.
type pacedReader struct {
	left    int
	stallAt int
}

const (
	// pacedBytes are read each pacedInterval: 0.8 MB/s, two thirds of 10 Mbit/s.
	pacedBytes    = 16 << 10
	pacedInterval = 20 * time.Millisecond
	stall         = 4 * time.Second
)

// Read returns the next bytes.
func (pacedReader *pacedReader) Read(buffer []byte) (int, error) {
	if pacedReader.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(pacedInterval)
	if pacedReader.stallAt > pacedReader.left {
		pacedReader.stallAt = 0
		time.Sleep(stall)
	}
	count := min(len(buffer), pacedBytes, pacedReader.left)
	copy(buffer[:count], filler)
	pacedReader.left -= count
	return count, nil
}

// TestLargestBodyOverSlowLink guards against limits that a caller within the limits reaches:
// a request of the largest size over a slow link, from a VM that stalls, is served if there is
// no other load, and beside a crowd that has stalled.
func TestLargestBodyOverSlowLink(t *testing.T) {
	post := func(router *router) error {
		return router.post("/plain/x", &pacedReader{left: maxBodyBytes, stallAt: maxBodyBytes / 2}, maxBodyBytes)
	}
	t.Run("alone", func(t *testing.T) {
		router := startRouter(t)
		if err := post(router); err != nil {
			t.Error(err)
		}
		router.check()
	})
	for _, test := range []struct {
		name   string
		member func(conn net.Conn, number int)
	}{
		{"beside announced bodies a byte short", announced("/plain/x", maxBodyBytes, maxBodyBytes-1)},
		{"beside large chunks without the last one", inChunks("/plain/x", 1<<20, maxBodyBytes)},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := startRouter(t)
			startCrowd(t, router.addresses.Callers, bodyMembers, test.member).wait()
			if err := post(router); err != nil {
				t.Error(err)
			}
			router.check()
		})
	}
}
