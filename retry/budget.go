package retry

import "time"

// Window is the time over which requests and retries are counted.
const Window = slots * slotLength

// Floor is the most retries in a window with hardly any requests, so that a
// quiet router can still move a request away from a failed upstream.
const Floor = 3

const (
	slots      = 10
	slotLength = time.Second
)

// Budget limits retries to a share of the requests of the last Window. However
// many upstreams fail, the attempts are at most requests*(1+Share) and Floor
// for each Window less one slot. The zero value allows Floor retries a window.
// It is not safe for concurrent use.
type Budget struct {
	// Share is the most retries for each request, such as 0.2.
	Share float64
	// Slack is the most retries in a window without any requests; zero means
	// Floor.
	Slack float64

	counts [slots]count
	// current is the slot that counts until endsAt.
	current int
	endsAt  time.Time
}

// count holds what happened in one slot of the window.
type count struct {
	requests int
	retries  int
}

// Request counts one new request at the time now.
func (budget *Budget) Request(now time.Time) {
	budget.advance(now)
	budget.counts[budget.current].requests++
}

// Spend takes one retry from the budget and reports whether there was one.
func (budget *Budget) Spend(now time.Time) bool {
	budget.advance(now)
	var sum count
	for _, slot := range budget.counts {
		sum.requests += slot.requests
		sum.retries += slot.retries
	}
	slack := budget.Slack
	if slack == 0 {
		slack = Floor
	}
	if float64(sum.retries+1) > budget.Share*float64(sum.requests)+slack {
		return false
	}
	budget.counts[budget.current].retries++
	return true
}

// advance empties the slots that have left the window.
func (budget *Budget) advance(now time.Time) {
	if budget.endsAt.IsZero() || !now.Before(budget.endsAt.Add(Window)) {
		budget.counts = [slots]count{}
		budget.endsAt = now.Add(slotLength)
		return
	}
	for !now.Before(budget.endsAt) {
		budget.current = (budget.current + 1) % slots
		budget.counts[budget.current] = count{}
		budget.endsAt = budget.endsAt.Add(slotLength)
	}
}
