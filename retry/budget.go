package retry

import "time"

// Window is the length of the sliding window over which a Budget counts
// requests and retries.
const Window = windowSlots * slotLength

// DefaultSlack is the number of retries that a Budget allows in each window
// regardless of the number of requests, so that a router with little traffic
// can still move a request away from a failed upstream.
const DefaultSlack = 3

const (
	windowSlots = 10
	slotLength  = time.Second
	// keptSlots is the number of slots that are kept: the current one has only begun, so that
	// a whole Window takes one more.
	keptSlots = windowSlots + 1
)

// Budget limits retries to a share of the requests in the last Window. However
// many upstreams fail, there are at most Share retries for each request, plus
// Slack, in any period of Window. The zero value allows DefaultSlack retries per
// window. A Budget is not safe for concurrent use.
type Budget struct {
	// Share is the maximum ratio of retries to requests, such as 0.2.
	Share float64
	// Slack is the number of retries allowed in a window without any requests;
	// zero means DefaultSlack.
	Slack float64

	counts [keptSlots]slotCounts
	// current is the index of the slot that receives counts until endsAt.
	current int
	endsAt  time.Time
}

// slotCounts holds the counts of one slot of the window.
type slotCounts struct {
	requests int
	retries  int
}

// CountRequest counts one new request, which does not include its retries.
func (budget *Budget) CountRequest(now time.Time) {
	budget.advance(now)
	budget.counts[budget.current].requests++
}

// Spend takes one retry from the budget. It reports false, and takes nothing, if
// the budget is used up.
func (budget *Budget) Spend(now time.Time) bool {
	budget.advance(now)
	sum := budget.sum()
	slack := budget.Slack
	if slack == 0 {
		slack = DefaultSlack
	}
	if float64(sum.retries+1) > budget.Share*float64(sum.requests)+slack {
		return false
	}
	budget.counts[budget.current].retries++
	return true
}

// sum returns the retries of at least the last Window, and the requests of at most that.
func (budget *Budget) sum() slotCounts {
	var sum slotCounts
	for _, slot := range budget.counts {
		sum.requests += slot.requests
		sum.retries += slot.retries
	}
	oldest := (budget.current + 1) % keptSlots
	sum.requests -= budget.counts[oldest].requests
	return sum
}

// advance moves the window forward to now and clears the slots it reuses.
func (budget *Budget) advance(now time.Time) {
	if budget.endsAt.IsZero() || !now.Before(budget.endsAt.Add(Window)) {
		budget.counts = [keptSlots]slotCounts{}
		budget.endsAt = now.Add(slotLength)
		return
	}
	for !now.Before(budget.endsAt) {
		budget.current = (budget.current + 1) % keptSlots
		budget.counts[budget.current] = slotCounts{}
		budget.endsAt = budget.endsAt.Add(slotLength)
	}
}
