package admission

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Policy holds the limits of one upstream, from the settings in force.
type Policy struct {
	// LoadMultiple bounds the load to max(1, ceil(LoadMultiple * mean)).
	// Zero means that there is no bound by the mean.
	LoadMultiple float64
	// EngineLimit is the most requests in flight that the engine takes.
	// Zero means that there is no limit.
	EngineLimit int
	// QueueLimit is the most requests that wait.
	QueueLimit int
	// Marks gives for each priority the share of the bound, above 0 and at
	// most 1, above which it is held back. A priority without a mark has 1.
	Marks map[ident.Priority]float64
}

// Sample is the load of one upstream of the pool as seen at a time.
type Sample struct {
	Upstream ident.UpstreamID
	Load     int
	SeenAt   time.Time
}

// Offer is a request that asks to be admitted.
type Offer struct {
	Attempt   ident.AttemptID
	Workspace ident.WorkspaceID
	// Weight is the workspace's weight; zero counts as one.
	Weight   float64
	Priority ident.Priority
	Deadline time.Time
	// Evidence holds the loads named by the sidecars that refused the request.
	Evidence []Sample
	// Alone asks for the whole upstream: nothing else runs beside it.
	Alone bool
}

// Verdict says what became of an offer.
type Verdict int

// The verdicts on an offer.
const (
	Refused Verdict = iota
	Admitted
	Queued
)

// Decision is the answer to an offer. Load, Mean and Bound hold at the time of
// the decision. Code and RetryAt are set for a refusal.
type Decision struct {
	Verdict Verdict
	Code    result.Code
	RetryAt time.Time
	Load    int
	Mean    float64
	Bound   int
}

// Start tells that a queued attempt left the queue: it runs if Code is OK and
// was refused otherwise.
type Start struct {
	Attempt ident.AttemptID
	Code    result.Code
	RetryAt time.Time
}

// Gate admits requests to one upstream. The zero value admits everything. It is
// not safe for concurrent use.
type Gate struct {
	policy  Policy
	running map[ident.AttemptID]ident.WorkspaceID
	leaving bool
}

// SetPolicy puts policy in force from now on.
func (gate *Gate) SetPolicy(policy Policy) { gate.policy = policy }

// Observe takes in the samples of the pool's other upstreams.
func (gate *Gate) Observe(_ time.Time, _ []Sample) {}

// Leave refuses all new work from now on. Running work is not affected.
func (gate *Gate) Leave() { gate.leaving = true }

// Load returns the number of admitted requests that are not done.
func (gate *Gate) Load() int { return len(gate.running) }

// Offer asks to admit a request at the time now.
func (gate *Gate) Offer(now time.Time, offer Offer) Decision {
	if gate.leaving {
		return Decision{Code: result.Leaving, RetryAt: now.Add(time.Second), Load: len(gate.running)}
	}
	if gate.running == nil {
		gate.running = make(map[ident.AttemptID]ident.WorkspaceID)
	}
	gate.running[offer.Attempt] = offer.Workspace
	return Decision{Verdict: Admitted, Load: len(gate.running)}
}

// Done tells that an admitted attempt has ended, or that the caller of a
// queued one has gone. It returns the queued attempts that leave the queue.
func (gate *Gate) Done(_ time.Time, attempt ident.AttemptID) []Start {
	delete(gate.running, attempt)
	return nil
}

// Expire returns the queued attempts whose deadline can no longer be met.
func (gate *Gate) Expire(_ time.Time) []Start { return nil }
