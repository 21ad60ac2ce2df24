package load

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Report says what the callers of a run got.
type Report struct {
	// Requests counts the planned requests that were sent, and Tries all
	// sendings of them, with the repetitions after a refusal.
	Requests int
	Tries    int
	// Whole counts the requests with their whole, right answer. What a service
	// refused with a status of its own counts as its answer.
	Whole int
	// Wrong counts the answers that called themselves whole and were not the
	// right ones, or whose events were out of order. It must be zero.
	Wrong int
	// Cut counts the answers that ended without an end or an error and could
	// not be resumed, and Resumed those that were resumed.
	Cut     int
	Resumed int
	// Unreachable counts the tries for which no router could be reached.
	Unreachable int
	// Codes counts the answers that are not whole by the name of their code,
	// and Outcomes by what their code says of the request.
	Codes    map[string]int
	Outcomes map[result.Outcome]int
	// Details holds the detail of the first answer of each code.
	Details map[string]string
	// Workspaces holds the counts of each workspace.
	Workspaces map[ident.WorkspaceID]Tally

	Confirmations Confirmations

	// FirstToken is the time from the planned arrival to the first event of a
	// model's answer, BetweenTokens that between two events, and Finished
	// that from the planned arrival to the end of a whole answer.
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Finished      Quantiles

	// PromptTokens counts the tokens of the prompts answered whole, of which
	// CachedTokens were found in a prefix cache. Reuse is their ratio.
	PromptTokens ident.Tokens
	CachedTokens ident.Tokens
	Reuse        float64
	// Tokens counts the tokens of the whole answers.
	Tokens          ident.Tokens
	TokensPerSecond float64
	ElapsedMs       int64
}

// Tally counts the requests of one workspace. Refused ones were not run.
type Tally struct {
	Requests int
	Whole    int
	Refused  int
}

// Confirmations says what became of the requests that must not run twice.
type Confirmations struct {
	// Keys counts the distinct keys, and Done those with an answer.
	Keys int
	Done int
	// Open counts the keys of which the caller knows neither that they ran
	// nor that they did not.
	Open int
	// Differing counts the keys that were given two different answers. It
	// must be zero.
	Differing int
	// Checked says that the services told how often each key ran.
	Checked bool
	// RanTwice counts the keys that ran more than once, RanAfterNotRun those
	// that ran although every answer said "not run", and DoneWithoutRun those
	// with an answer that never ran. All must be zero.
	RanTwice       int
	RanAfterNotRun int
	DoneWithoutRun int
}

// Sound reports whether no answer broke a promise.
func (report *Report) Sound() bool {
	confirmations := &report.Confirmations
	broken := confirmations.Differing + confirmations.RanTwice + confirmations.RanAfterNotRun + confirmations.DoneWithoutRun
	return report.Wrong == 0 && broken == 0
}

// JSON returns the report as indented JSON.
func (report *Report) JSON() ([]byte, error) {
	return json.MarshalIndent(report, "", "  ")
}

// Quantiles describes a distribution of times in milliseconds.
type Quantiles struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// The range of the histograms, in microseconds, and their precision in decimal
// digits.
const (
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, digits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	micros := min(max(duration.Microseconds(), minMicros), maxMicros)
	// The value is within the range of the histogram.
	_ = histogram.RecordValue(micros)
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / microsPerMilli
	}
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   float64(histogram.Max()) / microsPerMilli,
	}
}
