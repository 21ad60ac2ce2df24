package prefix

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Policy says when fetching a prefix is worth it.
type Policy struct {
	// MinTokens is the shortest prefix that is fetched.
	MinTokens ident.Tokens
	// PrefillRate is the tokens that the engine prefills in a second, and
	// TransferRate the bytes that one transfer moves in a second. A prefix is
	// fetched only if that is the quicker way. Zero of either skips the check.
	PrefillRate  float64
	TransferRate float64
	// TokenBytes is the size of a cached token until a transfer has shown it.
	TokenBytes ident.Bytes
	// Budget is the bytes that the upstream may fetch in a second, of which it
	// may save up BudgetBurst. Zero fetches nothing.
	Budget ident.Bytes
	Burst  ident.Bytes
	// MaxRunning is the most fetches at once; zero means DefaultMaxRunning.
	MaxRunning int
}

// DefaultMaxRunning is the most fetches at once where the policy names none.
const DefaultMaxRunning = 4

// Backoff is how long a holder is left alone after a fetch from it failed.
const Backoff = 5 * time.Second

// sizeWeight is the weight of the newest transfer in the size of a token.
const sizeWeight = 0.2

// Reason says why a prefix is not fetched; the empty reason fetches it.
type Reason string

// The reasons to prefill instead.
const (
	Fetch         Reason = ""
	NoHolder      Reason = "NoHolder"
	CachedHere    Reason = "CachedHere"
	TooShort      Reason = "TooShort"
	Slower        Reason = "Slower"
	HolderFailed  Reason = "HolderFailed"
	TooMany       Reason = "TooMany"
	OverBudget    Reason = "OverBudget"
	HolderEvicted Reason = "HolderEvicted"
)

// Request asks whether to fetch the prefix of a chat.
type Request struct {
	Chat ident.ChatID
	// Self is the upstream that runs the request; Holder served the chat last.
	Self   ident.UpstreamID
	Holder ident.UpstreamID
	// Tokens is the length of the prefix.
	Tokens ident.Tokens
	// Cached says that the engine here is believed to hold the prefix.
	Cached bool
}

// Fetcher decides on the fetches of one sidecar. The zero value fetches
// nothing. It is not safe for concurrent use.
type Fetcher struct {
	policy     Policy
	limiter    *rate.Limiter
	tokenBytes float64
	running    int
	// retryAt holds for each holder that failed when it may be asked again.
	retryAt map[ident.UpstreamID]time.Time
}

// SetPolicy puts policy in force from now on, with a full budget.
func (fetcher *Fetcher) SetPolicy(policy Policy) {
	if policy.MaxRunning == 0 {
		policy.MaxRunning = DefaultMaxRunning
	}
	fetcher.policy = policy
	fetcher.limiter = rate.NewLimiter(rate.Limit(policy.Budget), int(policy.Burst))
	fetcher.tokenBytes = float64(policy.TokenBytes)
}

// Begin decides at the time now. If it returns Fetch, the budget is charged and
// the caller fetches and then calls End.
func (fetcher *Fetcher) Begin(now time.Time, request Request) Reason {
	reason := fetcher.judge(now, request)
	if reason != Fetch {
		return reason
	}
	if !fetcher.limiter.AllowN(now, int(fetcher.size(request.Tokens))) {
		return OverBudget
	}
	fetcher.running++
	return Fetch
}

func (fetcher *Fetcher) judge(now time.Time, request Request) Reason {
	switch {
	case fetcher.limiter == nil || fetcher.policy.Budget == 0:
		return OverBudget
	case request.Cached:
		return CachedHere
	case request.Holder == "" || request.Holder == request.Self:
		return NoHolder
	case request.Tokens < max(1, fetcher.policy.MinTokens):
		return TooShort
	case fetcher.slower(request.Tokens):
		return Slower
	case now.Before(fetcher.retryAt[request.Holder]):
		return HolderFailed
	case fetcher.running >= fetcher.policy.MaxRunning:
		return TooMany
	}
	return Fetch
}

// slower reports whether a transfer takes longer than the prefill.
func (fetcher *Fetcher) slower(tokens ident.Tokens) bool {
	if fetcher.policy.PrefillRate <= 0 || fetcher.policy.TransferRate <= 0 {
		return false
	}
	return fetcher.size(tokens)/fetcher.policy.TransferRate > float64(tokens)/fetcher.policy.PrefillRate
}

func (fetcher *Fetcher) size(tokens ident.Tokens) float64 {
	return fetcher.tokenBytes * float64(tokens)
}

// Outcome is how a fetch ended.
type Outcome struct {
	Holder ident.UpstreamID
	// Reason is Fetch for a prefix that was imported, HolderEvicted for a
	// holder that no longer had it, and HolderFailed for any other failure.
	Reason Reason
	// Tokens and Bytes are the size of what was imported.
	Tokens ident.Tokens
	Bytes  ident.Bytes
}

// End tells how a fetch that Begin allowed ended, at the time now.
func (fetcher *Fetcher) End(now time.Time, outcome Outcome) {
	fetcher.running--
	switch outcome.Reason {
	case HolderFailed:
		fetcher.backOff(now, outcome.Holder)
	case Fetch:
		delete(fetcher.retryAt, outcome.Holder)
		fetcher.learn(outcome)
	}
}

func (fetcher *Fetcher) backOff(now time.Time, holder ident.UpstreamID) {
	if fetcher.retryAt == nil {
		fetcher.retryAt = make(map[ident.UpstreamID]time.Time)
	}
	for other, retryAt := range fetcher.retryAt {
		if !now.Before(retryAt) {
			delete(fetcher.retryAt, other)
		}
	}
	fetcher.retryAt[holder] = now.Add(Backoff)
}

func (fetcher *Fetcher) learn(outcome Outcome) {
	if outcome.Tokens <= 0 || outcome.Bytes <= 0 {
		return
	}
	shown := float64(outcome.Bytes) / float64(outcome.Tokens)
	if fetcher.tokenBytes == 0 {
		fetcher.tokenBytes = shown
		return
	}
	fetcher.tokenBytes += sizeWeight * (shown - fetcher.tokenBytes)
}
