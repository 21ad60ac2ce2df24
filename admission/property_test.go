package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// model keeps what a controller must have, in the plainest way.
type model struct {
	controller admission.Controller
	policy     admission.Policy
	now        time.Time
	next       int
	samples    map[ident.UpstreamID]admission.Sample
	running    []ident.AttemptID
	queued     []ident.AttemptID
	leaving    bool
}

func newModel(t *rapid.T) *model {
	model := &model{now: time.Unix(1000, 0), samples: make(map[ident.UpstreamID]admission.Sample)}
	model.policy = admission.Policy{
		LoadMultiple: rapid.SampledFrom([]float64{0, 1, 1.25, 1.5, 3}).Draw(t, "multiple"),
		EngineLimit:  rapid.SampledFrom([]int{0, 1, 4, 16}).Draw(t, "limit"),
		QueueLimit:   rapid.IntRange(0, 6).Draw(t, "queue"),
		Marks:        map[ident.Priority]float64{"batch": 0.5},
	}
	model.controller.SetPolicy(model.policy)
	model.controller.Random = func() float64 { return 0.5 }
	return model
}

func (model *model) drawSamples(t *rapid.T, name string) []admission.Sample {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) admission.Sample {
		return admission.Sample{
			Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", rapid.IntRange(0, 5).Draw(t, "upstream"))),
			Load:     rapid.IntRange(0, 20).Draw(t, "load"),
			SeenAt:   model.now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond),
			Leaving:  rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		}
	}), 0, 5).Draw(t, name)
}

// ceiling returns the highest bound that the promise allows for a load.
func (model *model) ceiling(load int, evidence []admission.Sample) int {
	ceiling := math.MaxInt
	if model.policy.EngineLimit > 0 {
		ceiling = model.policy.EngineLimit
	}
	sum, count := load, 1
	for _, sample := range model.samples {
		if !sample.Leaving && model.now.Sub(sample.SeenAt) <= admission.SampleLifetime {
			sum += sample.Load
			count++
		}
	}
	if count == 1 || model.policy.LoadMultiple == 0 {
		return ceiling
	}
	mean := max(float64(sum)/float64(count), supported(model.now, load, evidence))
	return min(ceiling, admission.Bound(model.policy.LoadMultiple, mean))
}

// supported returns the mean of the loads named, each upstream counted once,
// with load; it is zero if fewer than three upstreams were named lately.
func supported(now time.Time, load int, evidence []admission.Sample) float64 {
	sum, named := load, make(map[ident.UpstreamID]bool)
	for _, sample := range evidence {
		if sample.Leaving || named[sample.Upstream] || now.Sub(sample.SeenAt) > admission.EvidenceLifetime {
			continue
		}
		named[sample.Upstream] = true
		sum += sample.Load
	}
	if len(named) < 3 {
		return 0
	}
	return float64(sum) / float64(len(named)+1)
}

func (model *model) offer(t *rapid.T) {
	model.next++
	offer := admission.Offer{
		Attempt:   ident.AttemptID(fmt.Sprintf("attempt-%d", model.next)),
		Workspace: ident.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
		Weight:    rapid.SampledFrom([]float64{0, 1, 3, 0.3414, 1.7069}).Draw(t, "weight"),
		Priority:  ident.Priority(rapid.SampledFrom([]string{"shelf", "batch"}).Draw(t, "priority")),
		Evidence:  model.drawSamples(t, "evidence"),
		Alone:     rapid.IntRange(0, 15).Draw(t, "alone") == 0,
		Cold:      rapid.Bool().Draw(t, "cold"),
		Wait:      rapid.Bool().Draw(t, "wait"),
		Deadline:  model.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "left")) * time.Millisecond),
	}
	ceiling := model.ceiling(len(model.running), offer.Evidence)
	decision := model.controller.Offer(model.now, offer)
	model.note(offer.Evidence)
	switch decision.Verdict {
	case admission.Admitted:
		model.admitted(t, offer.Attempt, ceiling)
	case admission.Queued:
		model.queued = append(model.queued, offer.Attempt)
	case admission.Refused:
		if decision.Code.Outcome() != result.NotRun || !decision.RetryAt.After(model.now) {
			t.Fatalf("got refusal %+v, want a code of work not run and a time to come back", decision)
		}
	}
}

func (model *model) admitted(t *rapid.T, attempt ident.AttemptID, ceiling int) {
	if model.leaving {
		t.Fatalf("got %s admitted, want nothing after Leave", attempt)
	}
	model.running = append(model.running, attempt)
	if got := len(model.running); got > ceiling {
		t.Fatalf("got load %d after an admission, want at most %d", got, ceiling)
	}
}

func (model *model) take(t *rapid.T, starts []admission.Start) {
	for _, start := range starts {
		place := indexOf(model.queued, start.Attempt)
		if place < 0 {
			t.Fatalf("got %s leaving the queue, want one of %v", start.Attempt, model.queued)
		}
		model.queued = append(model.queued[:place], model.queued[place+1:]...)
		if start.Code == result.OK {
			model.admitted(t, start.Attempt, model.ceiling(len(model.running), nil))
		} else if start.Code.Outcome() != result.NotRun || start.RetryAt.Before(model.now) {
			t.Fatalf("got %+v, want a code of work not run and a time to come back", start)
		}
	}
}

func indexOf(attempts []ident.AttemptID, attempt ident.AttemptID) int {
	for i, found := range attempts {
		if found == attempt {
			return i
		}
	}
	return -1
}

func (model *model) done(t *rapid.T) {
	held := append(append([]ident.AttemptID{"unknown"}, model.running...), model.queued...)
	attempt := rapid.SampledFrom(held).Draw(t, "attempt")
	if place := indexOf(model.running, attempt); place >= 0 {
		model.running = append(model.running[:place], model.running[place+1:]...)
	}
	if place := indexOf(model.queued, attempt); place >= 0 {
		model.queued = append(model.queued[:place], model.queued[place+1:]...)
	}
	model.take(t, model.controller.Done(model.now, attempt))
}

func (model *model) observe(t *rapid.T) {
	samples := model.drawSamples(t, "samples")
	model.note(samples)
	model.controller.Observe(model.now, samples)
}

// note takes in samples as the controller should.
func (model *model) note(samples []admission.Sample) {
	for _, sample := range samples {
		held, found := model.samples[sample.Upstream]
		if !found || sample.SeenAt.After(held.SeenAt) {
			model.samples[sample.Upstream] = sample
		}
	}
}

func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":   model.offer,
			"done":    model.done,
			"observe": model.observe,
			"expire":  func(t *rapid.T) { model.take(t, model.controller.Expire(model.now)) },
			"wait": func(t *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leave") > 0 {
					t.Skip("stays")
				}
				model.leaving = true
				for _, start := range model.controller.Leave() {
					if got, want := start.Code, result.Leaving; got != want {
						t.Fatalf("got %s, want %s", got, want)
					}
					place := indexOf(model.queued, start.Attempt)
					model.queued = append(model.queued[:place], model.queued[place+1:]...)
				}
			},
			"": model.check,
		})
	})
}

func (model *model) check(t *rapid.T) {
	if got, want := model.controller.Load(), len(model.running); got != want {
		t.Fatalf("got load %d, want %d", got, want)
	}
	if got, want := model.controller.Waiting(), len(model.queued); got != want {
		t.Fatalf("got %d waiting, want %d", got, want)
	}
	if model.leaving && len(model.queued) > 0 {
		t.Fatalf("got %v queued, want none after Leave", model.queued)
	}
}
