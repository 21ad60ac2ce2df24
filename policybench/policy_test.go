package policybench

import (
	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
)

// choice is how a router selects upstreams.
type choice int

const (
	byAffinityPlan choice = iota
	byRandom
	byRoundRobin
	byReportedLoad
)

// policy is one way of placing chats. Each boolean field enables a feature.
type policy struct {
	name        string
	choice      choice
	multiple    float64
	hint        bool
	twoWaySpill bool
	namedSpill  bool
	coldBound   bool
	transfer    bool
	evidence    bool
	shares      bool
	marks       bool
	queue       bool
	pushAtLeave bool
}

// full returns the policy of the daemons, with all features and the given load
// multiple.
func full(name string, multiple float64) policy {
	return policy{
		name: name, multiple: multiple, hint: true, twoWaySpill: true, namedSpill: true, coldBound: true, transfer: true,
		evidence: true, shares: true, marks: true, queue: true, pushAtLeave: true,
	}
}

// without returns the full policy at a load multiple of 1.25 with some features
// disabled.
func without(name string, disable func(*policy)) policy {
	policy := full("1.25 without "+name, 1.25)
	disable(&policy)
	return policy
}

var unbounded = policy{name: "unbounded rendezvous"}

// policies returns all policies that are compared.
func policies() []policy {
	return []policy{
		{name: "random", choice: byRandom},
		{name: "round robin", choice: byRoundRobin},
		{name: "least reported load", choice: byReportedLoad},
		unbounded,
		{name: "unbounded with hint", hint: true},
		full("bound 1.1", 1.1),
		full("bound 1.25", 1.25),
		full("bound 1.5", 1.5),
		full("bound 2", 2),
		without("hint", func(policy *policy) { policy.hint = false }),
		without("hint, cold bound and named spill", func(policy *policy) { policy.hint, policy.coldBound, policy.namedSpill = false, false, false }),
		without("cold bound", func(policy *policy) { policy.coldBound = false }),
		without("named spill", func(policy *policy) { policy.namedSpill = false }),
		without("two-way spill", func(policy *policy) { policy.twoWaySpill = false }),
		without("cold bound, named and two-way spill", func(policy *policy) { policy.coldBound, policy.namedSpill, policy.twoWaySpill = false, false, false }),
		without("transfer", func(policy *policy) { policy.transfer = false }),
		without("transfer and hint", func(policy *policy) { policy.transfer, policy.hint = false, false }),
		without("push at a leave", func(policy *policy) { policy.pushAtLeave = false }),
		without("evidence", func(policy *policy) { policy.evidence = false }),
		without("shares", func(policy *policy) { policy.shares = false }),
		without("marks", func(policy *policy) { policy.marks = false }),
		without("queue", func(policy *policy) { policy.queue = false }),
	}
}

// bounded reports whether sidecars limit the load of their engines.
func (policy *policy) bounded() bool { return policy.multiple > 0 }

// knownLoads returns the loads by which a router chooses between two upstreams,
// or nil if the policy does not compare loads.
func (policy *policy) knownLoads(loads *affinity.Loads) *affinity.Loads {
	if policy.twoWaySpill {
		return loads
	}
	return nil
}

// lessLoaded returns the less loaded upstream that a refusal named, or none if
// the policy does not use it.
func (policy *policy) lessLoaded(decision admission.Decision) ident.UpstreamID {
	if policy.namedSpill {
		return decision.LessLoaded
	}
	return ""
}
