package load

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Report holds the results of a run, as its callers saw them.
type Report struct {
	// Requests counts the planned requests that were sent. Tries counts each
	// attempt to send them, including retries.
	Requests int
	Tries    int
	// Whole counts the requests with a complete and correct answer. An error
	// status that a service returned itself counts as its answer.
	Whole int
	// Wrong counts the answers that were marked complete but had the wrong
	// content, and those with events out of order. It must be zero.
	Wrong int
	// Cut counts the answers that were truncated, without an end or error
	// event, and could not be resumed. Resumed counts the answers that were
	// resumed at least once.
	Cut     int
	Resumed int
	// Unreachable counts the tries that reached no router.
	Unreachable int
	// Codes counts the error replies by the name of their result code, and
	// Outcomes by the outcome that the code stands for.
	Codes    map[string]int
	Outcomes map[result.Outcome]int
	// Details holds the detail of the first reply with each code.
	Details map[string]string
	// Workspaces holds the counts by workspace.
	Workspaces map[ident.WorkspaceID]Tally

	Confirmations Confirmations

	// FirstToken is the time from the planned arrival to the first event of a
	// model's answer, BetweenTokens the time between two consecutive events,
	// and Finished the time from the planned arrival to the end of a complete
	// answer.
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Finished      Quantiles

	// PromptTokens counts the tokens of the prompts that were answered
	// completely. CachedTokens of them were found in a prefix cache. Reuse is
	// CachedTokens divided by PromptTokens.
	PromptTokens ident.Tokens
	CachedTokens ident.Tokens
	Reuse        float64
	// Tokens counts the tokens of the complete answers.
	Tokens          ident.Tokens
	TokensPerSecond float64
	ElapsedMs       int64
}

// Tally counts the requests of one workspace. Whole counts those with a complete
// and correct answer, and Refused those that were not run.
type Tally struct {
	Requests int
	Whole    int
	Refused  int
}

// Confirmations holds the results of the requests that must not run twice.
type Confirmations struct {
	// Keys counts the distinct keys, and Done those with an answer.
	Keys int
	Done int
	// Open counts the keys for which the caller doesn't know whether the
	// request ran.
	Open int
	// Differing counts the keys that received two different answers. It must
	// be zero.
	Differing int
	// Checked is set if the services reported how often each key ran. The
	// counts below are valid only then.
	Checked bool
	// RanTwice counts the keys that ran more than once, RanAfterNotRun those
	// that ran although every reply had the outcome NotRun, and DoneWithoutRun
	// those with a successful answer that never ran. All must be zero.
	RanTwice       int
	RanAfterNotRun int
	DoneWithoutRun int
}

// Sound reports whether every count that must be zero is zero.
func (report *Report) Sound() bool {
	confirmations := &report.Confirmations
	violations := confirmations.Differing + confirmations.RanTwice + confirmations.RanAfterNotRun + confirmations.DoneWithoutRun
	return report.Wrong == 0 && violations == 0
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

// Range of the histograms in microseconds, and their precision in decimal
// digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	micros := min(max(duration.Microseconds(), minMicros), maxMicros)
	// RecordValue fails only for values outside the histogram's range.
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
