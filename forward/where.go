package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/split"
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
	Candidates     []PlacementCandidate
}

// PlacementCandidate is an upstream that a placement was chosen among.
type PlacementCandidate struct {
	Upstream   ident.UpstreamID
	Load       int
	Unread     ident.Tokens
	ExpectedMs int64
	Cached     bool
	Healthy    bool
	AtLimit    bool
	AtBound    bool
}

// Where returns where a request with the given host, target and headers would go at the
// moment. It sends nothing and changes nothing. The body of the request is not known, and
// neither is, thus, whether it has crashed upstreams. Requests for the rest of a stream are
// placed like new ones.
func (handler *Handler) Where(request *http.Request) Placement {
	exchange := &exchange{handler: handler, request: request, arrived: time.Now()}
	if code := exchange.identify(); code != result.OK {
		return Placement{Code: code.Name()}
	}
	// Without a prompt the cell depends on the body.
	if exchange.resumable() && len(exchange.head.Prompt) > 0 {
		if version, state := handler.Splits.Version(exchange.service, exchange.streamKey()); state == split.Assigned {
			exchange.binding = binding{version: version, source: newStream}
		}
	}
	placement := Placement{Code: result.OK.Name(), Route: exchange.route.Name, Service: exchange.service, Version: exchange.binding.version}
	tuning, now := handler.tuning.Load(), time.Now()
	choice, candidates, found := tuning.Chooser.Inspect(now, exchange.pool(), exchange.choiceRequest())
	for _, candidate := range candidates {
		placement.Candidates = append(placement.Candidates, PlacementCandidate{
			Upstream:   candidate.Upstream,
			Load:       candidate.Load.Requests,
			Unread:     candidate.Load.PendingPrefill,
			ExpectedMs: candidate.Expected.Milliseconds(),
			Cached:     candidate.Cached,
			Healthy:    candidate.Healthy,
			AtLimit:    candidate.Excluded,
			AtBound:    candidate.AtBound,
		})
	}
	slices.SortFunc(placement.Candidates, func(a, b PlacementCandidate) int { return cmp.Compare(a.Upstream, b.Upstream) })
	if !found {
		placement.Code = exchange.noChoiceCode(exchange.pool()).Name()
		return placement
	}
	placement.Upstream, placement.Reason, placement.Source = choice.Upstream.ID, string(choice.Reason), choice.Source
	placement.MeanLoad, placement.ExpectedMs = choice.Mean, choice.Expected.Milliseconds()
	if tuning.Costs != nil && len(exchange.head.Prompt) > 0 {
		described := cost.Request{Route: exchange.route.Name, Hint: exchange.head.LengthHint, MaxOutput: exchange.head.MaxOutput}
		if exchange.workspace != nil {
			described.Workspace = exchange.workspace.ID
		}
		placement.ExpectedOutput = tuning.Costs.Output(described).Mean
	}
	return placement
}
