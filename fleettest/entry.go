package fleettest

import (
	"encoding/json"
	"testing"

	"github.com/hickoryhead/hickoryhead/entry"
)

// StartEntry starts an entry router with the settings file at path and returns the addresses
// at which it listens. The settings name no port (see AnyPort): one that was free when a test
// looked may be taken when the router listens.
func StartEntry(t testing.TB, path string) (*Process, entry.Addresses) {
	t.Helper()
	process := start(t, "router", "hickoryhead", "entry", "--settings", path)
	return process, await(t, process, "its addresses", EntryStarted)
}

// EntryStarted decodes the line that an entry router logs once it listens. It returns false for
// any other line.
func EntryStarted(line string) (entry.Addresses, bool) {
	var fields struct {
		Message string `json:"msg"`
		entry.Addresses
	}
	if err := json.Unmarshal([]byte(line), &fields); err != nil || fields.Message != "Started." {
		return entry.Addresses{}, false
	}
	return fields.Addresses, true
}
