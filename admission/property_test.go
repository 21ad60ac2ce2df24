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

// model is a simple reference model of a controller.
type model struct {
	controller admission.Controller
	policy     admission.Policy
	now        time.Time
	nextID     int
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

// maxLoad returns the highest load after an admission that the guarantee of the
// package allows, for the load before it.
func (model *model) maxLoad(load int, evidence []admission.Sample) int {
	maxLoad := math.MaxInt
	if model.policy.EngineLimit > 0 {
		maxLoad = model.policy.EngineLimit
	}
	sum, count := load, 1
	for _, sample := range model.samples {
		if !sample.Leaving && model.now.Sub(sample.SeenAt) <= admission.SampleLifetime {
			sum += sample.Load
			count++
		}
	}
	if count == 1 || model.policy.LoadMultiple == 0 {
		return maxLoad
	}
	mean := max(float64(sum)/float64(count), evidenceMean(model.now, load, evidence))
	return min(maxLoad, admission.Bound(model.policy.LoadMultiple, mean))
}

// evidenceMean returns the mean of load and the loads in the evidence, each
// upstream counted once. It is zero if fewer than three upstreams have a load
// that is younger than EvidenceLifetime.
func evidenceMean(now time.Time, load int, evidence []admission.Sample) float64 {
	sum, counted := load, make(map[ident.UpstreamID]bool)
	for _, sample := range evidence {
		if sample.Leaving || counted[sample.Upstream] || now.Sub(sample.SeenAt) > admission.EvidenceLifetime {
			continue
		}
		counted[sample.Upstream] = true
		sum += sample.Load
	}
	if len(counted) < 3 {
		return 0
	}
	return float64(sum) / float64(len(counted)+1)
}

func (model *model) offer(t *rapid.T) {
	model.nextID++
	offer := admission.Offer{
		Attempt:   ident.AttemptID(fmt.Sprintf("attempt-%d", model.nextID)),
		Workspace: ident.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")),
		Weight:    rapid.SampledFrom([]float64{0, 1, 3, 0.3414, 1.7069}).Draw(t, "weight"),
		Priority:  ident.Priority(rapid.SampledFrom([]string{"shelf", "batch"}).Draw(t, "priority")),
		Evidence:  model.drawSamples(t, "evidence"),
		Exclusive: rapid.IntRange(0, 15).Draw(t, "alone") == 0,
		Cold:      rapid.Bool().Draw(t, "cold"),
		MayQueue:  rapid.Bool().Draw(t, "wait"),
		Deadline:  model.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "remaining")) * time.Millisecond),
	}
	maxLoad := model.maxLoad(len(model.running), offer.Evidence)
	decision := model.controller.Offer(model.now, offer)
	model.recordSamples(offer.Evidence)
	switch decision.Verdict {
	case admission.Admitted:
		model.recordAdmission(t, offer.Attempt, maxLoad)
	case admission.Queued:
		model.queued = append(model.queued, offer.Attempt)
	case admission.Refused:
		if decision.Code.Outcome() != result.NotRun || !decision.RetryAt.After(model.now) {
			t.Fatalf("got refusal %+v, want a code with outcome NotRun and RetryAt after %v", decision, model.now)
		}
	}
}

func (model *model) recordAdmission(t *rapid.T, attempt ident.AttemptID, maxLoad int) {
	if model.leaving {
		t.Fatalf("got attempt %s admitted after Leave, want none", attempt)
	}
	model.running = append(model.running, attempt)
	if got := len(model.running); got > maxLoad {
		t.Fatalf("got load %d after admission of %s, want at most %d", got, attempt, maxLoad)
	}
}

func (model *model) applyDequeued(t *rapid.T, dequeued []admission.Dequeued) {
	for _, attempt := range dequeued {
		index := indexOf(model.queued, attempt.Attempt)
		if index < 0 {
			t.Fatalf("got attempt %s leaving the queue, want one of %v", attempt.Attempt, model.queued)
		}
		model.queued = append(model.queued[:index], model.queued[index+1:]...)
		if attempt.Code == result.OK {
			model.recordAdmission(t, attempt.Attempt, model.maxLoad(len(model.running), nil))
		} else if attempt.Code.Outcome() != result.NotRun || attempt.RetryAt.Before(model.now) {
			t.Fatalf("got %+v, want a code with outcome NotRun and RetryAt not before %v", attempt, model.now)
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
	attempts := append(append([]ident.AttemptID{"unknown"}, model.running...), model.queued...)
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	if index := indexOf(model.running, attempt); index >= 0 {
		model.running = append(model.running[:index], model.running[index+1:]...)
	}
	if index := indexOf(model.queued, attempt); index >= 0 {
		model.queued = append(model.queued[:index], model.queued[index+1:]...)
	}
	model.applyDequeued(t, model.controller.Done(model.now, attempt))
}

func (model *model) observe(t *rapid.T) {
	samples := model.drawSamples(t, "samples")
	model.recordSamples(samples)
	model.controller.Observe(model.now, samples)
}

// recordSamples keeps the newest sample of each upstream, as the controller
// should.
func (model *model) recordSamples(samples []admission.Sample) {
	for _, sample := range samples {
		recorded, found := model.samples[sample.Upstream]
		if !found || sample.SeenAt.After(recorded.SeenAt) {
			model.samples[sample.Upstream] = sample
		}
	}
}

// Checks the guarantees in the package documentation against a reference model
// under random offers, ends, samples, evidence and leaves.
func TestControllerGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":   model.offer,
			"done":    model.done,
			"observe": model.observe,
			"expire":  func(t *rapid.T) { model.applyDequeued(t, model.controller.Expire(model.now)) },
			"wait": func(t *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leave") > 0 {
					t.Skip("not leaving")
				}
				model.leaving = true
				for _, start := range model.controller.Leave() {
					if got, want := start.Code, result.Leaving; got != want {
						t.Fatalf("got code %s after Leave, want %s", got, want)
					}
					index := indexOf(model.queued, start.Attempt)
					model.queued = append(model.queued[:index], model.queued[index+1:]...)
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
	if got, want := model.controller.QueueLength(), len(model.queued); got != want {
		t.Fatalf("got %d requests queued, want %d", got, want)
	}
	if model.leaving && len(model.queued) > 0 {
		t.Fatalf("got attempts %v queued after Leave, want none", model.queued)
	}
}
