package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
)

// Placement says where a request would go at the moment, and why.
type Placement struct {
	// Code is OK, or the code with which the request would be refused.
	Code    string
	Route   ident.RouteName
	Service ident.ServiceName
	// Version is the only software version at which the request may run, or empty.
	Version ident.SoftwareVersion
	// Upstream is the chosen upstream, and Source the one that it would fetch the prompt
	// from.
	Upstream ident.UpstreamID
	Reason   string
	Source   ident.UpstreamID
	MeanLoad float64
	// ExpectedMs is the predicted time to the first event, and ExpectedOutput the number
	// of tokens that are expected to be generated. They are zero if none is predicted.
	ExpectedMs     int64
	ExpectedOutput ident.Tokens
	// Candidates are the upstreams of the pool, and OutOfPool the others of the service,
	// without figures.
	Candidates []PlacementCandidate
	OutOfPool  []PlacementCandidate
}

// PlacementCandidate is an upstream of the service of a placement.
type PlacementCandidate struct {
	Upstream   ident.UpstreamID
	Load       int
	Unread     ident.Tokens
	ExpectedMs int64
	Cached     bool
	Healthy    bool
	AtBound    bool
	// Excluded are the reasons for which it gets no request, but for its load. One that is
	// excluded for its health alone gets one if no other is left.
	Excluded []string
}

// The reasons in PlacementCandidate.Excluded, beside those of registry.Exclusion,
// balance.Exclusion and aloneExclusion.
const (
	excludedRegion  = "region not allowed"
	excludedVersion = "another software version"
	excludedCold    = "cold"
	excludedResting = "resting"
)

// Where returns where a request with the given host, target and headers, which was offered to
// the tried upstreams before, would go at the moment. It sends nothing and changes nothing. The
// body of the request is not known: it counts as empty where requests that have crashed
// upstreams are told apart. Requests for the rest of a stream are placed like new ones.
// Admission control is not consulted: the request may still be refused for lack of room.
func (handler *Handler) Where(request *http.Request, tried []ident.UpstreamID) Placement {
	exchange := &exchange{handler: handler, request: request, arrived: time.Now(), tried: tried}
	if code := exchange.identify(); code != result.OK {
		return Placement{Code: code.Name()}
	}
	// Without a prompt the cell depends on the body.
	if exchange.resumable() && len(exchange.head.Prompt) > 0 {
		exchange.bindNew(handler.Splits.Version(exchange.service, exchange.streamKey()))
	}
	placement := Placement{Code: result.OK.Name(), Route: exchange.route.Name, Service: exchange.service, Version: exchange.binding.version}
	tuning, now, pool := handler.tuning.Load(), time.Now(), exchange.pool()
	allowance := exchange.standing().Allowance
	choice, candidates, found := tuning.Chooser.Inspect(now, pool, exchange.choiceRequest())
	if allowance != strike.Free {
		choice, found = exchange.chooseBy(allowance, pool)
	}
	for _, candidate := range candidates {
		placement.Candidates = append(placement.Candidates, PlacementCandidate{
			Upstream:   candidate.Upstream,
			Load:       candidate.Load.Requests,
			Unread:     candidate.Load.PendingPrefill,
			ExpectedMs: candidate.Expected.Milliseconds(),
			Cached:     candidate.Cached,
			Healthy:    candidate.Healthy,
			AtBound:    candidate.AtBound,
			Excluded:   exchange.exclusions(now, candidate, allowance),
		})
	}
	byUpstream := func(a, b PlacementCandidate) int { return cmp.Compare(a.Upstream, b.Upstream) }
	slices.SortFunc(placement.Candidates, byUpstream)
	for _, upstream := range handler.Registry.Upstreams() {
		_, inPool := slices.BinarySearchFunc(placement.Candidates, PlacementCandidate{Upstream: upstream.ID}, byUpstream)
		if upstream.Service == exchange.service && !inPool {
			placement.OutOfPool = append(placement.OutOfPool, PlacementCandidate{Upstream: upstream.ID, Excluded: exchange.poolExclusions(upstream)})
		}
	}
	if !found {
		placement.Code = exchange.noChoiceCode(pool).Name()
		return placement
	}
	placement.Upstream, placement.Reason, placement.Source = choice.Upstream.ID, string(choice.Reason), choice.Source
	placement.MeanLoad, placement.ExpectedMs = choice.Mean, choice.Expected.Milliseconds()
	if tuning.Costs != nil && len(exchange.head.Prompt) > 0 {
		placement.ExpectedOutput = tuning.Costs.Output(exchange.costRequest()).Mean
	}
	return placement
}

// exclusions returns why a candidate of the pool gets no request with the given allowance.
func (exchange *exchange) exclusions(now time.Time, candidate balance.Candidate, allowance strike.Allowance) []string {
	var reasons []string
	upstream, listed := exchange.handler.Registry.Upstream(candidate.Upstream)
	switch {
	case candidate.Exclusion == balance.LimitReached && listed:
		switch exchange.limitCode(now, upstream) {
		case result.UpstreamsResting:
			reasons = append(reasons, excludedResting)
		case result.UpstreamsCold:
			reasons = append(reasons, excludedCold)
		default:
			reasons = append(reasons, string(balance.LimitReached))
		}
	case candidate.Exclusion != "":
		reasons = append(reasons, string(candidate.Exclusion))
	}
	if !candidate.Healthy {
		reasons = append(reasons, candidate.Health)
	}
	if allowance == strike.Alone && listed {
		if reason := exchange.handler.aloneExclusion(now, upstream); reason != "" && !slices.Contains(reasons, reason) {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// poolExclusions returns why a listed upstream of the service is not in the pool of the
// request.
func (exchange *exchange) poolExclusions(upstream registry.Upstream) []string {
	var reasons []string
	if reason := exchange.handler.Registry.Exclusion(upstream); reason != "" {
		reasons = append(reasons, string(reason))
	}
	if !exchange.inRegions(upstream) {
		reasons = append(reasons, excludedRegion)
	}
	if !exchange.binding.allows(upstream) {
		reasons = append(reasons, excludedVersion)
	}
	return reasons
}
