package forward_test

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// manyCallers is how many requests one router has at faulty upstreams at a time.
	manyCallers = 500
	// manyBuffers is what their answers may take together, and maxManyHeap by how much the
	// heap may grow with all else that requests need.
	manyBuffers ident.Bytes = 16 << 20
	maxManyHeap             = 96 << 20
)

// stalledCaller sends a request and does not read its answer before release is closed.
type stalledCaller struct {
	router  *router
	path    string
	release chan struct{}
}

func (caller *stalledCaller) run(t *testing.T, group *sync.WaitGroup) {
	defer group.Done()
	response, err := caller.router.do(t, "a1", http.MethodPost, caller.path, "")
	if err != nil {
		return
	}
	<-caller.release
	_ = response.Body.Close()
}

// TestManyEndlessAnswersShareTheirMemory guards against a router that runs out of memory
// because many requests at a time each keep what a faulty upstream sends without end, while
// their callers read slowly: the requests of other callers would end with the process.
func TestManyEndlessAnswersShareTheirMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name, path, unit string
	}{
		{"bodies", "/once/x", chunk(strings.Repeat("x", 4000))},
		{"events", "/stream/x", chunk(strings.Repeat("x", 4000))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var upstreams []*fakeUpstream
			for range manyCallers / 50 {
				upstreams = append(upstreams, startUpstream(t, (&endless{begin: head, unit: test.unit}).answer))
			}
			router := startRouter(t, upstreams...)
			router.handler.Memory.Limit = manyBuffers
			defer debug.SetGCPercent(debug.SetGCPercent(20))
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			watch := &heapWatch{stop: make(chan struct{}), done: make(chan struct{})}
			go watch.run()
			release := make(chan struct{})
			var group sync.WaitGroup
			for range manyCallers {
				caller := &stalledCaller{router: router, path: test.path, release: release}
				group.Add(1)
				go caller.run(t, &group)
			}
			time.Sleep(endlessDeadline)
			close(release)
			group.Wait()
			close(watch.stop)
			<-watch.done
			if grown := int64(watch.peak) - int64(before.HeapAlloc); grown > maxManyHeap {
				t.Errorf("got a heap that grew by %d MiB, want at most %d", grown>>20, maxManyHeap>>20)
			} else {
				t.Logf("heap grew by %d MiB", grown>>20)
			}
			for end := time.Now().Add(5 * time.Second); router.handler.Memory.Held() > 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			if got := router.handler.Memory.Held(); got != 0 {
				t.Errorf("got %d bytes reserved after the last request, want none", got)
			}
		})
	}
}
