package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// TestStoreFromAnOlderCopy guards against routers that believe versions of a store which
// was restored from an older copy: they would ignore new upstreams, send work to
// upstreams that are gone or leaving, and lose what they had written.
func TestStoreFromAnOlderCopy(t *testing.T) {
	// rewriteTime is within which all is to be written again, and learnt.
	const rewriteTime = 3 * time.Second
	fleet := newCrashFleet(t, 6, 2)
	earlier := fleet.store.Copy()
	leaving, gone := fleet.runners[0], fleet.runners[1]
	leaving.Leave()
	gone.Crash()
	_ = fleet.servers[1].Close()
	fleet.store.Remove(gone.Row())
	for n := 0; len(fleet.crashTimes()) < standin.MaxCrashes && n < crashRetries; n++ {
		fleet.send(fleet.address(n), fmt.Sprint("crash-", n), "/once/x", crashBody)
		time.Sleep(crashRetryInterval)
	}
	time.Sleep(rewriteTime)
	fleet.store.Restore(earlier)
	fleet.writeConfig()
	restored := time.Now()
	before := len(fleet.runTimes(leaving.ID))
	started := len(fleet.runners)
	fleet.startUpstream(fleet.nextID(""))
	for n := range 60 {
		reply := fleet.send(fleet.address(n), fmt.Sprint("sound-", n), "/once/x", fmt.Sprint("sound ", n))
		if reply.Status != http.StatusOK {
			t.Errorf("got status %d (%v) %v after the store came back, want 200", reply.Status, reply.Err, time.Since(restored))
		}
		time.Sleep(time.Until(restored.Add(time.Duration(n+1) * rewriteTime / 60)))
	}
	if got := len(fleet.runTimes(leaving.ID)); got != before {
		t.Errorf("got %d requests at an upstream that had been leaving before, want none", got-before)
	}
	if got := len(fleet.runTimes(fleet.runners[started].ID)); got == 0 {
		t.Error("got no request at an upstream that has started since, want some")
	}
	for table, want := range map[platform.TableName]int{platform.RouterTable: len(fleet.routers), platform.StrikeTable: standin.MaxCrashes} {
		store := platform.NewStore(fleet.routers[0].storeAddress, nil)
		records, err := store.ReadAll(t.Context(), table, "")
		if err != nil || len(records.Records) < want {
			t.Errorf("got %d rows of %s %v after the store came back (error %v), want at least %d", len(records.Records), table, rewriteTime, err, want)
		}
	}
	fleet.restartRouters()
	if reply := fleet.send(fleet.address(0), "crash-last", "/once/x", crashBody); reply.Status != http.StatusTooManyRequests {
		t.Errorf("got status %d for the request that crashes upstreams once all routers have restarted, want 429", reply.Status)
	}
}
