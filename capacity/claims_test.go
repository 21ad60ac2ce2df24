package capacity_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/standin"
)

// confirmations is the number that each caller sends, one after the other.
const confirmations = 12

// BenchmarkClaims sends confirmations, each with a key of its own, and counts
// the transactions that their claims take at the platform's table.
func BenchmarkClaims(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{Limit: 1024})
	run := 0
	for _, callers := range []int{4, 32, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				run++
				before, started := countersOf(b, fleet), time.Now()
				if err := confirm(fleet, run, callers); err != nil {
					b.Fatal(err)
				}
				elapsed := time.Since(started).Seconds()
				after := countersOf(b, fleet)
				sent := float64(callers * confirmations)
				b.ReportMetric(sent/elapsed, "confirmations/s")
				b.ReportMetric(float64(after.Commits-before.Commits)/elapsed, "transactions/s")
				b.ReportMetric(float64(after.Commits-before.Commits)/sent, "transactions/confirmation")
				b.ReportMetric(float64(after.RowsWritten-before.RowsWritten)/sent, "rows/confirmation")
			}
		})
	}
}

func confirm(fleet *fleettest.Fleet, run, callers int) error {
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range confirmations {
				key := fmt.Sprintf("key-%d-%d-%d", run, caller, i)
				reply, err := fleettest.Ask(fleet.Routers[0], fleettest.Request{Route: "confirm", Key: key, Body: `{"Run":1}`})
				if err != nil {
					return err
				}
				if reply.Status != http.StatusOK {
					return fmt.Errorf("%s: status %d: %s", key, reply.Status, reply.Body)
				}
			}
			return nil
		})
	}
	return group.Wait()
}

func countersOf(b *testing.B, fleet *fleettest.Fleet) standin.PlatformCounters {
	b.Helper()
	response, err := client.Get("http://" + fleet.PlatformAt + "/v1/counters")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var counters standin.PlatformCounters
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		b.Fatal(err)
	}
	return counters
}
