package policybench

import (
	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
)

// choice is how a router chooses.
type choice int

const (
	byPlan choice = iota
	byChance
	byTurns
	byReport
)

// policy is one way of placing chats.
type policy struct {
	name     string
	choice   choice
	multiple float64
	hint     bool
	twoWay   bool
	lighter  bool
	cold     bool
	transfer bool
	evidence bool
	shares   bool
	marks    bool
	queue    bool
	push     bool
}

// full returns the policy of this project with a load multiple.
func full(name string, multiple float64) policy {
	return policy{
		name: name, multiple: multiple, hint: true, twoWay: true, lighter: true, cold: true, transfer: true,
		evidence: true, shares: true, marks: true, queue: true, push: true,
	}
}

// without returns the full policy with one ingredient taken out.
func without(name string, take func(*policy)) policy {
	policy := full("1.25 without "+name, 1.25)
	take(&policy)
	return policy
}

var unbounded = policy{name: "unbounded rendezvous"}

// policies lists everything that is compared.
func policies() []policy {
	return []policy{
		{name: "random", choice: byChance},
		{name: "round robin", choice: byTurns},
		{name: "least reported load", choice: byReport},
		unbounded,
		{name: "unbounded with hint", hint: true},
		full("bound 1.1", 1.1),
		full("bound 1.25", 1.25),
		full("bound 1.5", 1.5),
		full("bound 2", 2),
		without("hint", func(policy *policy) { policy.hint = false }),
		without("hint, cold bound and named spill", func(policy *policy) { policy.hint, policy.cold, policy.lighter = false, false, false }),
		without("cold bound", func(policy *policy) { policy.cold = false }),
		without("named spill", func(policy *policy) { policy.lighter = false }),
		without("two-way spill", func(policy *policy) { policy.twoWay = false }),
		without("cold bound, named and two-way spill", func(policy *policy) { policy.cold, policy.lighter, policy.twoWay = false, false, false }),
		without("transfer", func(policy *policy) { policy.transfer = false }),
		without("transfer and hint", func(policy *policy) { policy.transfer, policy.hint = false, false }),
		without("push at a leave", func(policy *policy) { policy.push = false }),
		without("evidence", func(policy *policy) { policy.evidence = false }),
		without("shares", func(policy *policy) { policy.shares = false }),
		without("marks", func(policy *policy) { policy.marks = false }),
		without("queue", func(policy *policy) { policy.queue = false }),
	}
}

// bounded reports whether sidecars hold requests back.
func (policy *policy) bounded() bool { return policy.multiple > 0 }

// remembered returns what the router's choice between two is based on.
func (policy *policy) remembered(loads *affinity.Loads) *affinity.Loads {
	if policy.twoWay {
		return loads
	}
	return nil
}

// named returns the upstream that a refusal named as less loaded.
func (policy *policy) named(decision admission.Decision) ident.UpstreamID {
	if policy.lighter {
		return decision.LessLoaded
	}
	return ""
}
