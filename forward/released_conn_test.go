package forward_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// TestReleasedConnectionIsNotAsked guards against a request that asks its connection whether its body
// is still being sent, after another request has got that connection. The race detector shows it.
func TestReleasedConnectionIsNotAsked(t *testing.T) {
	router := startLargeBodyRouter(t, startUpstream(t, echo))
	body := strings.Repeat("x", 64<<10)
	var group sync.WaitGroup
	for n := range 16 {
		group.Go(func() {
			for m := range 100 {
				attempt := fmt.Sprint("a", n, "-", m)
				router.send(t, attempt, "POST", "/again/x", body).check(t, 200, "answer to "+attempt)
			}
		})
	}
	group.Wait()
}
