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

// confirmationsPerCaller is the number of confirmations that each caller sends
// sequentially.
const confirmationsPerCaller = 12

// BenchmarkClaims sends confirmations, each with its own idempotency key, and
// counts the transactions and rows that their claims write to the platform's
// table.
func BenchmarkClaims(b *testing.B) {
	fleet := fleettest.Start(b, fleettest.Options{Limit: 1024})
	run := 0
	for _, callers := range []int{4, 32, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for b.Loop() {
				run++
				before, started := platformCounters(b, fleet), time.Now()
				if err := sendConfirmations(fleet, run, callers); err != nil {
					b.Fatal(err)
				}
				elapsed := time.Since(started).Seconds()
				after := platformCounters(b, fleet)
				sent := float64(callers * confirmationsPerCaller)
				b.ReportMetric(sent/elapsed, "confirmations/s")
				b.ReportMetric(float64(after.Commits-before.Commits)/elapsed, "transactions/s")
				b.ReportMetric(float64(after.Commits-before.Commits)/sent, "transactions/confirmation")
				b.ReportMetric(float64(after.RowsWritten-before.RowsWritten)/sent, "rows/confirmation")
			}
		})
	}
}

// sendConfirmations sends confirmations from concurrent callers. The run number
// is part of the keys, so that no run repeats the keys of another.
func sendConfirmations(fleet *fleettest.Fleet, run, callers int) error {
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range confirmationsPerCaller {
				key := fmt.Sprintf("key-%d-%d-%d", run, caller, i)
				reply, err := fleettest.Send(fleet.Routers[0], fleettest.Request{Route: "confirm", Key: key, Body: `{"Run":1}`})
				if err != nil {
					return err
				}
				if reply.Status != http.StatusOK {
					return fmt.Errorf("confirmation %s: got status %d, want 200: %s", key, reply.Status, reply.Body)
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// platformCounters returns the platform stand-in's counters.
func platformCounters(b *testing.B, fleet *fleettest.Fleet) standin.PlatformCounters {
	b.Helper()
	response, err := client.Get("http://" + fleet.PlatformAddress + "/v1/counters")
	if err != nil {
		b.Fatalf("get platform counters: %v", err)
	}
	defer response.Body.Close()
	var counters standin.PlatformCounters
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		b.Fatalf("decode platform counters: %v", err)
	}
	return counters
}
