package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The times of the engines in these tests, in milliseconds.
const (
	tokensPerMs  = 66
	constantMs   = 6
	tokenMs      = 2.6
	runningMs    = 0.12
	observations = 3000
	interval     = 20 * time.Millisecond
)

func upstream(index int) registry.Upstream {
	return registry.Upstream{ID: ident.UpstreamID(fmt.Sprint("engine-", index)), Service: "pool", Incarnation: 1}
}

func ms(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// observe feeds a model with requests to count upstreams, of which each is as many times as
// slow as the others as speed says, and returns the time after the last one.
func observe(model *cost.Model, count int, speed func(index int) float64) time.Time {
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	for range observations {
		now = now.Add(interval)
		index, noise := random.IntN(count), math.Exp(0.3*random.NormFloat64())
		work := cost.Work{Prefill: ident.Tokens(100 + random.IntN(6000)), Local: ident.Tokens(random.IntN(3) * 500), Remote: ident.Tokens(random.IntN(3) * 1000)}
		tokens := float64(work.Prefill + work.Local + work.Remote)
		model.ObserveFirstEvent(now, upstream(index), work, ms(speed(index)*noise*(constantMs+tokens/tokensPerMs)))
		running := random.IntN(30)
		for range 5 {
			noise := math.Exp(0.2 * random.NormFloat64())
			model.ObserveGap(now, upstream(index), running, 10, ms(10*speed(index)*noise*(tokenMs+runningMs*float64(running))))
		}
	}
	return now
}

func equal(int) float64 { return 1 }

func near(got, want, share float64) bool { return math.Abs(got-want) <= share*want }

// TestRatesAreLearned guards against rates that stay at their assumed values.
func TestRatesAreLearned(t *testing.T) {
	var model cost.Model
	if _, known := model.FirstEvent(start, upstream(0), cost.Work{}); known {
		t.Error("got a prediction without an observation, want none")
	}
	now := observe(&model, 10, equal)
	if got := model.PrefillRate(now, upstream(0)); !near(got, tokensPerMs, 0.15) {
		t.Errorf("got %.1f prefill tokens a ms, want about %d", got, tokensPerMs)
	}
	got, known := model.FirstEvent(now, upstream(0), cost.Work{Prefill: 3000, Remote: 2000})
	if want := constantMs + 5000.0/tokensPerMs; !known || !near(got.Seconds()*1000, want, 0.15) {
		t.Errorf("got %v to the first event, want about %.0f ms", got, want)
	}
	if got, want := model.TokenTime(now, upstream(0), 20), ms(tokenMs+20*runningMs); !near(got.Seconds(), want.Seconds(), 0.15) {
		t.Errorf("got %v for a token beside 20 requests, want about %v", got, want)
	}
	if got := model.PrefillRate(now, registry.Upstream{ID: "x", Service: "other"}); got <= 0 || got > 1000 {
		t.Errorf("got %.1f prefill tokens a ms at a service without observations, want the assumed rate", got)
	}
}

// TestEqualUpstreamsAreEqual guards against upstreams that are preferred because of noise:
// routers would disagree on them and prefill the same prefix in several places.
func TestEqualUpstreamsAreEqual(t *testing.T) {
	const count = 40
	var model cost.Model
	now := observe(&model, count, equal)
	mean, _ := model.FirstEvent(now, registry.Upstream{Service: "pool"}, cost.Work{Prefill: 3000})
	different := 0
	for i := range count {
		if got, _ := model.FirstEvent(now, upstream(i), cost.Work{Prefill: 3000}); got != mean {
			different++
		}
	}
	if different > count/20 {
		t.Errorf("got %d of %d equal upstreams with another time than the mean, want at most %d", different, count, count/20)
	}
}

// TestUnequalUpstreamsAreFound guards against upstreams that count as equal although they
// are constantly slower or faster, and against what stays known of an upstream that has
// been replaced under the same ID.
func TestUnequalUpstreamsAreFound(t *testing.T) {
	speeds := []float64{1.3, 1, 1, 1 / 1.3, 1, 1, 1.3, 1, 1}
	var model cost.Model
	now := observe(&model, len(speeds), func(index int) float64 { return speeds[index] })
	mean, _ := model.FirstEvent(now, registry.Upstream{Service: "pool"}, cost.Work{Prefill: 3000})
	for i, speed := range speeds {
		got, _ := model.FirstEvent(now, upstream(i), cost.Work{Prefill: 3000})
		if !near(got.Seconds(), speed*mean.Seconds(), 0.12) {
			t.Errorf("upstream %d: got %.2f times the mean, want about %.2f", i, got.Seconds()/mean.Seconds(), speed)
		}
	}
	replaced := upstream(0)
	replaced.Incarnation++
	if got, _ := model.FirstEvent(now, replaced, cost.Work{Prefill: 3000}); got != mean {
		t.Errorf("got %v at a new run of an upstream, want the mean of the service, %v", got, mean)
	}
	model.Forget(upstream(0).ID)
	if got, _ := model.FirstEvent(now, upstream(0), cost.Work{Prefill: 3000}); got != mean {
		t.Errorf("got %v at a forgotten upstream, want the mean of the service, %v", got, mean)
	}
}

// TestPaceFollowsReports guards against a slow moment of a VM that is not taken into
// account, or that counts long after it is over.
func TestPaceFollowsReports(t *testing.T) {
	var model cost.Model
	now := observe(&model, 4, equal)
	work := cost.Work{Prefill: 3000}
	usual, _ := model.FirstEvent(now, upstream(1), work)
	for range 30 {
		model.ObservePace(now, upstream(0), 1)
	}
	model.ObservePace(now, upstream(0), 2.5)
	if got, _ := model.FirstEvent(now, upstream(0), work); !near(got.Seconds(), 2.5*usual.Seconds(), 0.1) {
		t.Errorf("got %v right after a report of a pace of 2.5, want about %v", got, 5*usual/2)
	}
	if got, _ := model.FirstEvent(now.Add(5*time.Second), upstream(0), work); !near(got.Seconds(), usual.Seconds(), 0.1) {
		t.Errorf("got %v 5 s after the report, want about %v", got, usual)
	}
	for _, pace := range []float64{0, -1, 1e9, math.NaN(), math.Inf(1)} {
		model.ObservePace(now, upstream(1), pace)
	}
	if got, _ := model.FirstEvent(now, upstream(1), work); got != usual {
		t.Errorf("got %v after impossible paces, want %v as before", got, usual)
	}
}

// TestImpossibleObservationsAreDropped guards against values of a broken clock or header
// that spoil what was learned.
func TestImpossibleObservationsAreDropped(t *testing.T) {
	var model cost.Model
	now := observe(&model, 4, equal)
	request := cost.Request{Route: "r", Workspace: "w", Hint: 100, MaxOutput: 400}
	work := cost.Work{Prefill: 3000}
	before, _ := model.FirstEvent(now, upstream(0), work)
	length := model.Output(request)
	for range 100 {
		for _, took := range []time.Duration{0, -time.Second, time.Hour} {
			model.ObserveFirstEvent(now, upstream(0), work, took)
			model.ObserveGap(now, upstream(0), 3, 10, took)
			model.ObservePlain(now, "r", took)
		}
		model.ObserveFirstEvent(now, upstream(0), cost.Work{Prefill: -1}, time.Millisecond)
		model.ObserveGap(now, upstream(0), 3, 0, time.Millisecond)
		for _, counted := range []int{0, -5, 401, 1 << 30} {
			model.ObserveOutput(now, request, counted)
		}
	}
	if got, _ := model.FirstEvent(now, upstream(0), work); got != before {
		t.Errorf("got %v to the first event, want %v as before", got, before)
	}
	if got := model.Output(request); got != length {
		t.Errorf("got length %+v, want %+v as before", got, length)
	}
	if _, _, known := model.PlainTime("r"); known {
		t.Error("got a time of plain requests, want none")
	}
}

// TestOutliersAreLimited guards against a few very late answers that dominate what was
// learned.
func TestOutliersAreLimited(t *testing.T) {
	var model cost.Model
	now := observe(&model, 4, equal)
	before, _ := model.FirstEvent(now, upstream(0), cost.Work{Prefill: 3000})
	for range 30 {
		model.ObserveFirstEvent(now, upstream(0), cost.Work{Prefill: 3000}, 50*time.Second)
	}
	if got, _ := model.FirstEvent(now, upstream(1), cost.Work{Prefill: 3000}); got > 3*before/2 {
		t.Errorf("got %v after 30 of %d answers took 50 s, want at most half more than %v", got, observations, before)
	}
}

// TestLengthsWithBadHints guards against hints that are ten times off, against events that
// hold several tokens, and against lengths of one workspace that count for another.
func TestLengthsWithBadHints(t *testing.T) {
	for _, unit := range []float64{1, 10} {
		t.Run(fmt.Sprint(unit), func(t *testing.T) {
			var model cost.Model
			random := rand.New(rand.NewPCG(1, 0))
			now := start
			means := map[ident.WorkspaceID]float64{"short": 100, "long": 600}
			for range 4000 {
				now = now.Add(interval)
				workspace := ident.WorkspaceID("short")
				if random.IntN(2) == 0 {
					workspace = "long"
				}
				length := max(means[workspace]*math.Exp(0.5*random.NormFloat64()-0.125), unit)
				hint := length
				switch random.IntN(5) {
				case 0:
					hint *= 10
				case 1:
					hint /= 10
				}
				request := cost.Request{Route: "r", Workspace: workspace, Hint: ident.Tokens(max(hint, 1)), MaxOutput: 4096}
				model.ObserveOutput(now, request, int(length/unit))
			}
			for _, test := range []struct {
				name      string
				workspace ident.WorkspaceID
				hint      ident.Tokens
				low, high ident.Tokens
			}{
				{"true hint", "short", 100, 60, 160},
				{"true hint of a long answer", "long", 600, 380, 900},
				// A hint of 6,000 is ten times the length of a long answer or more.
				{"hint ten times too high", "long", 6000, 300, 1400},
				{"hint ten times too low", "long", 55, 30, 700},
			} {
				got := model.Output(cost.Request{Route: "r", Workspace: test.workspace, Hint: test.hint, MaxOutput: 4096})
				if got.Mean < test.low || got.Mean > test.high {
					t.Errorf("%s: got mean length %d, want %d to %d", test.name, got.Mean, test.low, test.high)
				}
				if got.High < got.Mean || got.High < 500 || got.High > 2500 {
					t.Errorf("%s: got high length %d, want what nine of ten don't exceed, 500 to 2500", test.name, got.High)
				}
			}
			if got := model.Output(cost.Request{Route: "r", Workspace: "long", Hint: 600, MaxOutput: 50}); got.Mean > 50 || got.High > 50 {
				t.Errorf("got %+v, want no more than the largest number of tokens, 50", got)
			}
		})
	}
}

// TestLengthWithoutObservations guards against a request without a hint that counts as
// costing nothing.
func TestLengthWithoutObservations(t *testing.T) {
	var model cost.Model
	for _, test := range []struct {
		request cost.Request
		want    ident.Tokens
	}{
		{cost.Request{Hint: 70}, 70},
		{cost.Request{Hint: 70, MaxOutput: 30}, 30},
		{cost.Request{}, 200},
		{cost.Request{Hint: -5}, 200},
	} {
		if got := model.Output(test.request).Mean; got != test.want {
			t.Errorf("%+v: got mean length %d, want %d", test.request, got, test.want)
		}
	}
}

// TestTimesOfPlainRequests guards against a mean that hides the slow requests.
func TestTimesOfPlainRequests(t *testing.T) {
	var model cost.Model
	for i := range 1000 {
		took := 10 * time.Millisecond
		if i%10 == 0 {
			took = 200 * time.Millisecond
		}
		model.ObservePlain(start.Add(time.Duration(i)*interval), "r", took)
	}
	mean, tail, known := model.PlainTime("r")
	if !known || !near(mean.Seconds(), 0.029, 0.1) || !near(tail.Seconds(), 0.2, 0.1) {
		t.Errorf("got mean %v and tail %v, want about 29 ms and 200 ms", mean, tail)
	}
}

// TestPredictionsArePossible checks for random observations that each prediction is a
// positive time that a request could take.
func TestPredictionsArePossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var model cost.Model
		now := start
		tokens := rapid.Custom(func(t *rapid.T) ident.Tokens {
			return ident.Tokens(rapid.OneOf(rapid.IntRange(-10, 100), rapid.IntRange(0, 1<<30)).Draw(t, "tokens"))
		})
		for range rapid.IntRange(0, 120).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1000, 100000).Draw(t, "ms")) * time.Millisecond)
			described := upstream(rapid.IntRange(0, 2).Draw(t, "upstream"))
			took := time.Duration(rapid.Int64Range(-10, 1<<40).Draw(t, "took"))
			work := cost.Work{Prefill: tokens.Draw(t, "prefill"), Local: tokens.Draw(t, "local"), Remote: tokens.Draw(t, "remote")}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				model.ObserveFirstEvent(now, described, work, took)
			case 1:
				model.ObserveGap(now, described, rapid.IntRange(-1, 1000).Draw(t, "running"), rapid.IntRange(-1, 1000).Draw(t, "count"), took)
			case 2:
				model.ObservePace(now, described, rapid.Float64().Draw(t, "pace"))
			}
		}
		work := cost.Work{Prefill: 1000, Local: 10, Remote: 5000}
		if got, known := model.FirstEvent(now, upstream(0), work); known && (got <= 0 || got > time.Hour) {
			t.Errorf("got %v to the first event, want a possible time", got)
		}
		if got := model.PrefillRate(now, upstream(0)); !(got > 0 && got < 1e6) {
			t.Errorf("got %v tokens a ms, want a possible rate", got)
		}
		if got := model.TokenTime(now, upstream(0), 10); got <= 0 || got > time.Hour {
			t.Errorf("got %v for a token, want a possible time", got)
		}
	})
}
