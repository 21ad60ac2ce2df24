package cost

import (
	"math"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// maxLengths and maxRoutes bound what is kept of the lengths of answers.
	maxLengths = 4096
	maxRoutes  = 512
	// maxOutput bounds the lengths that can be true, in tokens.
	maxOutput = 1 << 20
	// defaultOutput is the expected length of an answer of which nothing is known.
	defaultOutput = 200
	// lengthMemory is after what time an answer counts for 1/e of a new one.
	lengthMemory = 5 * time.Minute
	// lengthShrinkage is how many answers of the mean of the wider group are assumed of
	// a narrower one.
	lengthShrinkage = 5
	// histogramWindow is the time that one of histogramWindows of a histogram holds.
	histogramWindow  = time.Minute
	histogramWindows = 3
	// minQuantileCount is how many values a quantile needs.
	minQuantileCount = 20
	// percentileInterval is after how many values percentiles are computed again.
	percentileInterval = 16
	highPercentile     = 90
	tailPercentile     = 95
)

// Request describes a request before it is sent.
type Request struct {
	Route     ident.RouteName
	Workspace ident.WorkspaceID
	// Hint is the caller's estimate of the tokens that are generated, and MaxOutput the
	// largest number of them; zero means unknown.
	Hint      ident.Tokens
	MaxOutput ident.Tokens
}

// Output is the expected length of an answer in tokens: its mean and a length that nine
// of ten answers of the route don't exceed.
type Output struct {
	Mean ident.Tokens
	High ident.Tokens
}

// lengthKey identifies a group of requests: those of a route, of it with hints of the
// same size, and of a workspace of these.
type lengthKey struct {
	route     ident.RouteName
	workspace ident.WorkspaceID
	// hintSize is the number of bits of the hint, or -1 for all hints.
	hintSize int
}

// keys returns the groups of a request, from the widest to the narrowest.
func (request Request) keys() [3]lengthKey {
	size := bits.Len(uint(max(request.Hint, 0)))
	return [3]lengthKey{
		{route: request.Route, hintSize: -1},
		{route: request.Route, hintSize: size},
		{route: request.Route, hintSize: size, workspace: request.Workspace},
	}
}

// rotating is a histogram of the last histogramWindows windows.
type rotating struct {
	windowed  *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	// added counts the values of all windows ever.
	added int
}

func newRotating() rotating {
	return rotating{windowed: hdrhistogram.NewWindowed(histogramWindows, 1, maxOutput, 1)}
}

// add adds a value and reports whether percentiles are due to be computed again, which takes
// longer than to add a value: after each of the first ones, and then from time to time.
func (rotating *rotating) add(now time.Time, value int64) bool {
	if rotating.rotatedAt.IsZero() {
		rotating.rotatedAt = now
	}
	for range histogramWindows {
		if now.Sub(rotating.rotatedAt) < histogramWindow {
			break
		}
		rotating.windowed.Rotate()
		rotating.rotatedAt = rotating.rotatedAt.Add(histogramWindow)
	}
	if now.Sub(rotating.rotatedAt) >= histogramWindow {
		rotating.rotatedAt = now
	}
	// The histogram only refuses values out of its range.
	_ = rotating.windowed.Current.RecordValue(min(max(value, 1), maxOutput))
	rotating.added++
	return rotating.added <= 2*minQuantileCount || rotating.added%percentileInterval == 0
}

// percentile returns the value at a percentile, and false without minQuantileCount values.
func (rotating *rotating) percentile(percentile float64) (int64, bool) {
	merged := rotating.windowed.Merge()
	if merged.TotalCount() < minQuantileCount {
		return 0, false
	}
	return merged.ValueAtPercentile(percentile), true
}

// routeOutput is what is known of the lengths of all answers of a route.
type routeOutput struct {
	lengths rotating
	// units holds the ratios of hints to the counted lengths, in hundredths.
	units rotating
	// high and unit are derived from these: the high length, or zero if it is unknown,
	// and the tokens for each counted one.
	high int64
	unit float64
}

func newRouteOutput() *routeOutput {
	return &routeOutput{lengths: newRotating(), units: newRotating(), unit: 1}
}

const (
	unitScale = 100
	// maxUnit bounds the tokens of one event.
	maxUnit = 64
	// minSeveral is the ratio of hints to counted lengths from which on what is counted
	// is not a token but several. Below it, hints may be as far off.
	minSeveral = 3
)

// ObserveOutput records the length of a complete answer as it was counted: in tokens, or in
// events that hold several of them. Hints are right in the median, and tell the two apart.
func (model *Model) ObserveOutput(now time.Time, request Request, counted int) {
	if counted <= 0 || counted > maxOutput || request.MaxOutput > 0 && counted > int(request.MaxOutput) {
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	route := entry(&model.outputs, maxRoutes, request.Route, newRouteOutput)
	if request.Hint > 0 {
		if route.units.add(now, int64(unitScale*float64(request.Hint)/float64(counted))) {
			route.updateUnit()
		}
	}
	if route.lengths.add(now, int64(counted)) {
		route.high, _ = route.lengths.percentile(highPercentile)
	}
	for _, key := range request.keys() {
		entry(&model.lengths, maxLengths, key, func() *decayingMean { return new(decayingMean) }).add(now, lengthMemory, float64(counted), 1)
	}
}

// updateUnit computes the tokens for each counted event.
func (route *routeOutput) updateUnit() {
	ratio, known := route.units.percentile(50)
	if !known {
		return
	}
	route.unit = 1
	if unit := float64(ratio) / unitScale; unit >= minSeveral {
		route.unit = min(unit, maxUnit)
	}
}

// Output returns the expected length of the answer to a request.
func (model *Model) Output(request Request) Output {
	model.mu.Lock()
	defer model.mu.Unlock()
	unit, expected := 1.0, float64(defaultOutput)
	if request.Hint > 0 {
		expected = float64(min(request.Hint, maxOutput))
	}
	route := peek(model.outputs, request.Route)
	if route != nil {
		unit = route.unit
	}
	expected /= unit
	for _, key := range request.keys() {
		expected = peek(model.lengths, key).shrunk(expected, lengthShrinkage)
	}
	high := 2 * expected
	if route != nil && route.high > 0 {
		high = max(float64(route.high), expected)
	}
	output := Output{Mean: roundTokens(unit * expected), High: roundTokens(unit * high)}
	if request.MaxOutput > 0 {
		output.Mean, output.High = min(output.Mean, request.MaxOutput), min(output.High, request.MaxOutput)
	}
	return output
}

// Unit returns the tokens for each counted event of a route.
func (model *Model) Unit(name ident.RouteName) float64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	if route := peek(model.outputs, name); route != nil {
		return route.unit
	}
	return 1
}

func roundTokens(tokens float64) ident.Tokens {
	return ident.Tokens(math.Round(min(max(tokens, 1), maxOutput)))
}

// plainTimes is what is known of the times of plain requests of a route.
type plainTimes struct {
	times rotating
	mean  decayingMean
	tail  int64
}

// ObservePlain records the time that a plain request of a route took at an upstream.
func (model *Model) ObservePlain(now time.Time, route ident.RouteName, took time.Duration) {
	if !credible(took) {
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	times := entry(&model.plain, maxRoutes, route, func() *plainTimes { return &plainTimes{times: newRotating()} })
	times.mean.add(now, lengthMemory, milliseconds(took), 1)
	if times.times.add(now, took.Milliseconds()) {
		times.tail, _ = times.times.percentile(tailPercentile)
	}
}

// PlainTime returns the mean time of plain requests of a route and one that 95 in 100
// don't exceed, and false if there were too few.
func (model *Model) PlainTime(route ident.RouteName) (mean, tail time.Duration, known bool) {
	model.mu.Lock()
	defer model.mu.Unlock()
	times := peek(model.plain, route)
	if times == nil || times.tail == 0 {
		return 0, 0, false
	}
	return time.Duration(times.mean.mean() * float64(time.Millisecond)), time.Duration(times.tail) * time.Millisecond, true
}
