package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
)

// oddTables are the tables in which another writer leaves odd rows.
var oddTables = []platform.TableName{platform.ServerTable, platform.SplitTable, platform.StrikeTable, platform.RouterTable}

// oddValues are values of such rows.
var oddValues = []string{
	``, `null`, `[]`, `{"service":7}`, `{"service":"pool","address":"127.0.0.1:70000","state":"ready"}`,
	`{"service":"pool","address":"127.0.0.1:0","state":"ready"}`, `{"Revision":1e400}`, `{"Upstream":"i-0","At":1e400}`,
	strings.Repeat("[", 20_000),
}

// writeOddRow has another writer leave an odd row in one of the tables that routers read.
func (schedule *schedule) writeOddRow(time.Duration) {
	schedule.soak.countPlanned("odd row written")
	number := schedule.random.IntN(len(oddValues))
	record := platform.Record{
		Table: oddTables[schedule.random.IntN(len(oddTables))],
		Key:   platform.Key(fmt.Sprint("odd-", number)),
		Value: []byte(oddValues[number]),
	}
	schedule.soak.store.Write(record)
}

// upstreamOddRests has an upstream answer requests for the rest of a stream with something
// else.
func (schedule *schedule) upstreamOddRests(length time.Duration) {
	upstream := schedule.upstream()
	kinds := upstream.runner.OddRests()
	odd := kinds[schedule.random.IntN(len(kinds))]
	if !schedule.claim(upstream) {
		return
	}
	schedule.inject(schedule.soak.beginBreak("upstream answers rests with something else"), length, func() { upstream.runner.AnswerRests(odd) }, func() {
		upstream.runner.AnswerRests("")
		schedule.release(upstream)
	})
}
