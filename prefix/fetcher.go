package prefix

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Policy limits which prefixes are fetched.
type Policy struct {
	// MinTokens is the length of the shortest prefix that is fetched.
	MinTokens ident.Tokens
	// PrefillRate is how many tokens the engine prefills in a second, and
	// TransferRate how many bytes one transfer moves in a second. A prefix is
	// fetched only if this takes no longer than the prefill. If either is zero, the
	// times are not compared.
	PrefillRate  float64
	TransferRate float64
	// TokenBytes is the assumed size of a cached token. Completed transfers correct
	// it.
	TokenBytes ident.Bytes
	// Budget is how many bytes the upstream may fetch in a second on average, and
	// Burst how many it may fetch at once. A Budget of zero disables fetching.
	Budget ident.Bytes
	Burst  ident.Bytes
	// MaxRunning is the maximum number of concurrent fetches; zero means
	// DefaultMaxRunning.
	MaxRunning int
}

// DefaultMaxRunning is the maximum number of concurrent fetches if the policy sets
// none.
const DefaultMaxRunning = 4

// FailureBackoff is how long nothing is fetched from an upstream after a fetch
// from it failed.
const FailureBackoff = 5 * time.Second

// tokenSizeWeight is the weight of the latest transfer in the moving average of
// the size of a token.
const tokenSizeWeight = 0.2

// Reason says why a prefix is not fetched, or why a fetch failed. The empty reason
// is Fetch. The other values are part of event names.
type Reason string

// The decision to fetch, and the reasons to prefill instead. The source is the
// upstream that served the chat last and has its prefix cached; event names call
// it the holder.
const (
	Fetch         Reason = ""
	NoSource      Reason = "NoHolder"
	CachedHere    Reason = "CachedHere"
	TooShort      Reason = "TooShort"
	Slower        Reason = "Slower"
	SourceFailed  Reason = "HolderFailed"
	TooMany       Reason = "TooMany"
	OverBudget    Reason = "OverBudget"
	HolderEvicted Reason = "HolderEvicted"
)

// Request describes a prefix that may be fetched before a request of its chat
// runs.
type Request struct {
	Chat ident.ChatID
	// Self is the upstream that runs the request, and Source the one that served
	// the chat last, or empty if that is not known. The prefix is fetched from
	// Source.
	Self   ident.UpstreamID
	Source ident.UpstreamID
	// Tokens is the length of the prefix.
	Tokens ident.Tokens
	// Cached says that the local engine has probably cached the prefix already.
	Cached bool
}

// Fetcher decides about the fetches of one sidecar. The zero value fetches
// nothing. It is not safe for concurrent use.
type Fetcher struct {
	policy  Policy
	limiter *rate.Limiter
	// tokenBytes is the current estimate of the size of a cached token.
	tokenBytes float64
	running    int
	// retryAt is the time after which to fetch again from an upstream that failed.
	retryAt map[ident.UpstreamID]time.Time
}

// SetPolicy replaces the policy. The full burst is available again, and the size
// of a token is again that of the policy.
func (fetcher *Fetcher) SetPolicy(policy Policy) {
	if policy.MaxRunning == 0 {
		policy.MaxRunning = DefaultMaxRunning
	}
	fetcher.policy = policy
	fetcher.limiter = rate.NewLimiter(rate.Limit(policy.Budget), int(policy.Burst))
	fetcher.tokenBytes = float64(policy.TokenBytes)
}

// Begin decides at the time now whether to fetch a prefix. If it returns Fetch,
// the estimated size is charged to the budget, and the caller must fetch the
// prefix and then call End.
func (fetcher *Fetcher) Begin(now time.Time, request Request) Reason {
	reason := fetcher.check(now, request)
	if reason != Fetch {
		return reason
	}
	if !fetcher.limiter.AllowN(now, int(fetcher.size(request.Tokens))) {
		return OverBudget
	}
	fetcher.running++
	return Fetch
}

// check returns the reason not to fetch, apart from a lack of budget, or Fetch.
func (fetcher *Fetcher) check(now time.Time, request Request) Reason {
	switch {
	case fetcher.limiter == nil || fetcher.policy.Budget == 0:
		return OverBudget
	case request.Cached:
		return CachedHere
	case request.Source == "" || request.Source == request.Self:
		return NoSource
	case request.Tokens < max(1, fetcher.policy.MinTokens):
		return TooShort
	case fetcher.slower(request.Tokens):
		return Slower
	case now.Before(fetcher.retryAt[request.Source]):
		return SourceFailed
	case fetcher.running >= fetcher.policy.MaxRunning:
		return TooMany
	}
	return Fetch
}

// slower reports whether a transfer would take longer than the prefill.
func (fetcher *Fetcher) slower(tokens ident.Tokens) bool {
	if fetcher.policy.PrefillRate <= 0 || fetcher.policy.TransferRate <= 0 {
		return false
	}
	return fetcher.size(tokens)/fetcher.policy.TransferRate > float64(tokens)/fetcher.policy.PrefillRate
}

// size returns the estimated size of a prefix in bytes.
func (fetcher *Fetcher) size(tokens ident.Tokens) float64 {
	return fetcher.tokenBytes * float64(tokens)
}

// Outcome is the result of a fetch.
type Outcome struct {
	// Source is the upstream that the prefix was fetched from.
	Source ident.UpstreamID
	// Reason is Fetch if the prefix was imported, HolderEvicted if Source no
	// longer had it, and HolderFailed for any other failure.
	Reason Reason
	// Tokens and Bytes are the size of the imported prefix.
	Tokens ident.Tokens
	Bytes  ident.Bytes
}

// End records the outcome of a fetch that Begin allowed and that ended at the time
// now.
func (fetcher *Fetcher) End(now time.Time, outcome Outcome) {
	fetcher.running--
	switch outcome.Reason {
	case SourceFailed:
		fetcher.backOff(now, outcome.Source)
	case Fetch:
		delete(fetcher.retryAt, outcome.Source)
		fetcher.updateTokenBytes(outcome)
	}
}

// backOff records a failure of an upstream, and removes the failures whose backoff
// has ended.
func (fetcher *Fetcher) backOff(now time.Time, source ident.UpstreamID) {
	if fetcher.retryAt == nil {
		fetcher.retryAt = make(map[ident.UpstreamID]time.Time)
	}
	for other, retryAt := range fetcher.retryAt {
		if !now.Before(retryAt) {
			delete(fetcher.retryAt, other)
		}
	}
	fetcher.retryAt[source] = now.Add(FailureBackoff)
}

// updateTokenBytes applies the size of an imported prefix to the estimated size of
// a token.
func (fetcher *Fetcher) updateTokenBytes(outcome Outcome) {
	if outcome.Tokens <= 0 || outcome.Bytes <= 0 {
		return
	}
	observed := float64(outcome.Bytes) / float64(outcome.Tokens)
	if fetcher.tokenBytes == 0 {
		fetcher.tokenBytes = observed
		return
	}
	fetcher.tokenBytes += tokenSizeWeight * (observed - fetcher.tokenBytes)
}
