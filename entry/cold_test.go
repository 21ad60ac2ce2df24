package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
)

// TestRestartedUpstreamsGetFewRequestsAtFirst guards against upstreams that restart together
// and crash again, since all routers send to them at once, and against requests that are
// refused although nothing is cold any more.
func TestRestartedUpstreamsGetFewRequestsAtFirst(t *testing.T) {
	const upstreams, routers, away = 3, 4, 1500 * time.Millisecond
	rule := quota.ColdRule{Start: 3 * time.Second, PerSecond: 7.8, Overage: 1.5, Slack: 5}
	fleet := &crashFleet{
		t: t, store: newFixture(t).store, rowExpiry: 900 * time.Millisecond, restartAfter: away, sameID: true, wait: 2500, cold: &rule,
		crashAttempt: func(attempt ident.AttemptID) bool { return strings.HasPrefix(string(attempt), "end-") },
	}
	fleet.start(upstreams, routers)
	fleet.traffic("before", time.Now().Add(4*time.Second))
	for n := 0; len(fleet.crashTimes()) < upstreams && n < 20*upstreams; n++ {
		// Requests that run once, each of another body.
		fleet.send(fleet.address(n), fmt.Sprint("end-", n), "/once/x", fmt.Sprint("body of end-", n))
	}
	crashed := time.Now()
	calls := fleet.traffic("cold", crashed.Add(away+rule.Start))
	warm := fleet.traffic("warm", time.Now().Add(time.Second))
	if got := len(fleet.crashTimes()); got != upstreams {
		t.Fatalf("got %d crashes, want %d", got, upstreams)
	}
	most := int(rule.PerSecond*rule.Overage + rule.Slack)
	restarts := 0
	for _, life := range fleet.lifetimes() {
		if life.from.Before(fleet.crashTimes()[0]) {
			continue
		}
		restarts++
		var arrivals []time.Time
		for _, at := range fleet.runTimes(life.upstream) {
			if at.After(life.from) && at.Before(life.from.Add(rule.Start)) {
				arrivals = append(arrivals, at)
			}
		}
		t.Logf("%s: %d requests while cold", life.upstream, len(arrivals))
		for i, first := range arrivals {
			count := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) <= time.Second {
					count++
				}
			}
			if count > most {
				t.Errorf("got %d requests in a second at cold upstream %s, want at most %d", count, life.upstream, most)
				break
			}
		}
	}
	if restarts != upstreams {
		t.Errorf("got %d upstreams that restarted, want %d", restarts, upstreams)
	}
	refused := 0
	for _, call := range calls {
		if call.reply.Status != http.StatusServiceUnavailable || !strings.Contains(string(call.reply.Body), "HH2021") {
			continue
		}
		refused++
		if after, err := strconv.ParseFloat(call.reply.RetryAfter, 64); err != nil || after <= 0 || call.took > time.Second {
			t.Errorf("got %s refused after %v with Retry-After %q, want at once with a time", call.attempt, call.took, call.reply.RetryAfter)
		}
	}
	if refused == 0 {
		t.Error("got no request refused because every upstream is cold, want some")
	}
	served := 0
	for _, call := range warm {
		if call.reply.Status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d of %d refused while cold, %d of %d served after", refused, len(calls), served, len(warm))
}
