package sidecar

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/strike"
)

// defaultPolicy holds the limits that apply if the settings specify none.
var defaultPolicy = admission.Policy{LoadMultiple: 1.25, EngineLimit: 64, QueueLimit: 128}

// start admits or queues the request and runs it in a new goroutine. If it
// returns an error, nothing was forwarded to the upstream.
func (sidecar *Sidecar) start(ctx context.Context, call Call, body []byte, resumeText string) (*execution, error) {
	route, workspace, err := sidecar.resolve(&call)
	if err != nil {
		return nil, err
	}
	if err := sidecar.checkUpstream(); err != nil {
		return nil, err
	}
	now := sidecar.now()
	deadline := now.Add(time.Duration(call.BudgetMs) * time.Millisecond)
	fingerprint := fingerprintOf(&call, body)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	started := newExecution(call, fingerprint, sidecar.replayBytes(), cancel)
	started.idempotent = route.Retryable()
	waiter, err := sidecar.admit(started, workspace, deadline)
	if err != nil {
		cancel()
		return nil, err
	}
	work := &work{sidecar: sidecar, execution: started, route: route, body: body, resumeText: resumeText, deadline: deadline, waiter: waiter}
	go work.run(runCtx)
	return started, nil
}

func (sidecar *Sidecar) replayBytes() ident.Bytes {
	if sidecar.ReplayBytes > 0 {
		return sidecar.ReplayBytes
	}
	return defaultReplayBytes
}

// resolve looks up the route and the workspace in the sidecar's own settings, so
// that a router with older settings cannot bypass newer limits.
func (sidecar *Sidecar) resolve(call *Call) (settings.Route, settings.Workspace, error) {
	subtree := sidecar.View().Team(call.Team)
	if subtree == nil {
		return settings.Route{}, settings.Workspace{}, sidecar.notReady("the sidecar has no settings of team %q yet", call.Team)
	}
	route, found := subtree.Routes[call.Route]
	if !found {
		return settings.Route{}, settings.Workspace{}, sidecar.notReady("the sidecar has no settings of route %q yet", call.Route)
	}
	workspace, found := subtree.Workspaces[call.Workspace]
	if !found {
		return settings.Route{}, settings.Workspace{}, sidecar.notReady("the sidecar has no settings of workspace %q yet", call.Workspace)
	}
	if !sidecar.serves(route) {
		return settings.Route{}, settings.Workspace{}, sidecar.notReady("the upstream does not serve the model or service of the route")
	}
	if !route.Retryable() && call.Key == "" {
		return settings.Route{}, settings.Workspace{}, result.Errorf(result.MissingIdempotencyKey, "route %q", call.Route)
	}
	return route, workspace, nil
}

// serves reports whether the upstream serves the route's model or service.
func (sidecar *Sidecar) serves(route settings.Route) bool {
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	return sidecar.servesLocked(route)
}

// servesLocked implements serves. The caller holds mu.
func (sidecar *Sidecar) servesLocked(route settings.Route) bool {
	return route.Model == sidecar.model() && route.Service == sidecar.Upstream.Service
}

// model returns the model that the engine has loaded: the one that it last
// reported, or else the one in the settings file. The caller holds mu.
func (sidecar *Sidecar) model() ident.ModelName {
	if sidecar.reportedModel != "" {
		return sidecar.reportedModel
	}
	return sidecar.Upstream.Model
}

func (sidecar *Sidecar) notReady(format string, args ...any) error {
	refusal := result.Errorf(result.NotReady, format, args...)
	refusal.RetryAt = sidecar.now().Add(defaultRetryAfter)
	return refusal
}

// policy computes the limits of the upstream from the settings of all teams that
// share it: the lowest load multiple of its routes and the marks of every team's
// priorities. The caller holds mu.
func (sidecar *Sidecar) policy() admission.Policy {
	policy := defaultPolicy
	if sidecar.Limit > 0 {
		policy.EngineLimit = sidecar.Limit
	}
	if sidecar.reportedLimit > 0 {
		policy.EngineLimit = min(policy.EngineLimit, sidecar.reportedLimit)
	}
	policy.LoadMultiple = 0
	policy.Marks = make(map[ident.Priority]float64)
	view := sidecar.View()
	for _, team := range view.TeamIDs() {
		sidecar.addTeamLimits(&policy, view.Team(team))
	}
	if policy.LoadMultiple == 0 {
		policy.LoadMultiple = defaultPolicy.LoadMultiple
	}
	return policy
}

func (sidecar *Sidecar) addTeamLimits(policy *admission.Policy, subtree *settings.Subtree) {
	for name, class := range subtree.Priorities {
		policy.Marks[qualifiedPriority(subtree.Team, name)] = class.Mark
	}
	for _, route := range subtree.Routes {
		if route.LoadMultiple == 0 || !sidecar.servesLocked(route) {
			continue
		}
		if policy.LoadMultiple == 0 || route.LoadMultiple < policy.LoadMultiple {
			policy.LoadMultiple = route.LoadMultiple
		}
	}
}

// qualifiedPriority returns a name for a team's priority that no other team's
// priority has.
func qualifiedPriority(team ident.TeamID, priority ident.Priority) ident.Priority {
	return ident.Priority(string(team) + "/" + string(priority))
}

// refreshPolicy passes the policy of new settings to the controller. The caller
// holds mu.
func (sidecar *Sidecar) refreshPolicy() {
	view := sidecar.View()
	if view == sidecar.policyView {
		return
	}
	sidecar.policyView = view
	sidecar.controller.SetPolicy(sidecar.policy())
}

// admit submits the request to admission control. It returns a channel to wait
// on if the request was queued, and nil if it was admitted.
func (sidecar *Sidecar) admit(started *execution, workspace settings.Workspace, deadline time.Time) (chan admission.Dequeued, error) {
	call := &started.call
	offer := admission.Offer{
		Attempt:   call.Attempt,
		Workspace: ident.Qualified(call.Team, call.Workspace),
		Weight:    workspace.Weight,
		Priority:  qualifiedPriority(call.Team, call.Priority),
		Deadline:  deadline,
		MayQueue:  call.Wait,
		Cold:      sidecar.cold(call),
	}
	return sidecar.offer(started, offer)
}

// cold reports whether the engine has no prefix of the request's chat cached.
func (sidecar *Sidecar) cold(call *Call) bool {
	return sidecar.Prefixes != nil && !sidecar.Prefixes.HasCached(engineChatID(call))
}

// offer submits offer to the controller and registers the request unless it is
// refused. It returns a channel to wait on if the request was queued, and nil if
// it was admitted.
func (sidecar *Sidecar) offer(started *execution, offer admission.Offer) (chan admission.Dequeued, error) {
	now := sidecar.now()
	call := &started.call
	offer.Evidence = call.samples(now)
	sidecar.mu.Lock()
	defer sidecar.mu.Unlock()
	if err := sidecar.checkAttempt(call); err != nil {
		return nil, err
	}
	for _, crashed := range call.CrashedOn {
		sidecar.strikes.Add(now, strike.Strike{Fingerprint: started.fingerprint, Upstream: crashed, At: now})
	}
	if err := sidecar.checkStrikes(now, started.fingerprint, &offer); err != nil {
		return nil, err
	}
	sidecar.refreshPolicy()
	decision := sidecar.controller.Offer(now, offer)
	if decision.Verdict == admission.Refused {
		refusal := &result.Error{Code: decision.Code, RetryAt: decision.RetryAt, Detail: string(sidecar.Upstream.ID)}
		return nil, &redirectError{lessLoaded: decision.LessLoaded, refusal: refusal}
	}
	sidecar.register(started)
	if decision.Verdict == admission.Admitted {
		return nil, nil
	}
	if sidecar.waiting == nil {
		sidecar.waiting = make(map[ident.AttemptID]chan admission.Dequeued)
	}
	started.markQueued()
	waiter := make(chan admission.Dequeued, 1)
	sidecar.waiting[call.Attempt] = waiter
	return waiter, nil
}

// checkAttempt returns an error for an attempt that was abandoned or that has
// already arrived. The caller holds mu.
func (sidecar *Sidecar) checkAttempt(call *Call) error {
	if _, abandoned := sidecar.tombstones[call.Attempt]; abandoned {
		return result.Errorf(result.DeadlineUnmeetable, "attempt %q was abandoned", call.Attempt)
	}
	if _, known := sidecar.attempts[call.Attempt]; known {
		return result.Errorf(result.InvalidHeader, "attempt %q arrived twice", call.Attempt)
	}
	return nil
}

// checkStrikes refuses a request that may not run here because upstreams crashed
// while they ran it earlier. A request that may run only alone is marked so in
// offer. The caller holds mu.
func (sidecar *Sidecar) checkStrikes(now time.Time, fingerprint ident.Fingerprint, offer *admission.Offer) error {
	switch sidecar.strikes.Allowed(now, fingerprint) {
	case strike.Refused:
		return &result.Error{Code: result.CrashingRequest}
	case strike.Alone:
		designated := sidecar.strikes.Designated(fingerprint, sidecar.poolIDs())
		if designated != sidecar.Upstream.ID {
			return &redirectError{
				designated: designated,
				refusal:    &result.Error{Code: result.CrashingRequestAlone, RetryAt: now.Add(defaultRetryAfter)},
			}
		}
		offer.Exclusive = true
	case strike.Free:
	}
	return nil
}

// redirectError refuses a request and names the upstream to try instead: the
// only one that may run it, or a less loaded one.
type redirectError struct {
	designated ident.UpstreamID
	lessLoaded ident.UpstreamID
	refusal    *result.Error
}

// Error returns the text of the refusal.
func (e *redirectError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *redirectError) Unwrap() error { return e.refusal }

func (sidecar *Sidecar) poolIDs() []ident.UpstreamID {
	if sidecar.PoolIDs != nil {
		if pool := sidecar.PoolIDs(); len(pool) > 0 {
			return pool
		}
	}
	return []ident.UpstreamID{sidecar.Upstream.ID}
}

// register adds the request to the executions and attempts. The caller holds mu.
func (sidecar *Sidecar) register(started *execution) {
	if sidecar.executions == nil {
		sidecar.executions = make(map[ident.RequestID]*execution)
		sidecar.attempts = make(map[ident.AttemptID]*execution)
	}
	sidecar.executions[started.call.Request] = started
	sidecar.attempts[started.call.Attempt] = started
}
