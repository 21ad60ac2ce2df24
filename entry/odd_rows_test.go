package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
)

// oddRowValues are values that another writer may leave in a row.
var oddRowValues = []string{
	``, `{`, `null`, `7`, `[]`, `"text"`, `{"service":7}`, `{"service":"pool","address":"127.0.0.1:70000","state":"ready"}`,
	`{"service":"pool","address":"127.0.0.1:0","state":"ready","slots":1e400}`, `{"service":"pool","address":"127.0.0.1:9","state":"ready","born":123456789012345678901234567890}`,
	`{"Revision":1e400}`, `{"Revision":18446744073709551615,"Cells":{"v1":[[0,99]]}}`, `{"Upstream":7,"At":1e400}`, `{"Upstream":"i-1","At":9223372036854775807,"SentAt":-9223372036854775808}`,
	strings.Repeat("[", 20_000), strings.Repeat(`{"service":`, 9_000),
}

// TestOddRowsOfOtherWriters guards against routers that end, or no longer follow the store,
// because of rows that another writer left in any of the tables that they read.
func TestOddRowsOfOtherWriters(t *testing.T) {
	fixture := newFixture(t, "i-1")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	for _, table := range []platform.TableName{platform.ServerTable, platform.SplitTable, platform.StrikeTable, platform.RouterTable, platform.OperatorTable} {
		for i, value := range oddRowValues {
			for _, key := range []string{fmt.Sprint("odd-", i), fmt.Sprintf("00000000000000%02x/i-1/9", i), fmt.Sprintf("127.0.0.1:%d", 70_000+i)} {
				fixture.store.Write(platform.Record{Table: table, Key: platform.Key(key), Value: []byte(value)})
			}
		}
	}
	follows := func(version int) {
		t.Helper()
		prefix := fmt.Sprintf("/v%d/", version)
		fixture.writeConfig(version, prefix)
		fixture.waitFor(5*time.Second, "a new configuration", func() bool {
			status, body, _ := fixture.get(prefix + "x")
			return status == 200 && body == "i-1"
		})
	}
	follows(2)
	fixture.cancel()
	<-fixture.done
	fixture.start()
	fixture.waitFor(5*time.Second, "readiness after a restart", fixture.ready)
	follows(3)
	fixture.writeUpstream("i-1", "draining")
	fixture.waitFor(5*time.Second, "an upstream that leaves", func() bool {
		status, _, _ := fixture.get("/v3/x")
		return status == 503
	})
}
