package admission

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// tenant is one workspace's use of the upstream.
type tenant struct {
	weight  float64
	running int
	waiting int
	// askedAt and priority are those of the latest offer.
	askedAt  time.Time
	priority ident.Priority
}

func (tenant *tenant) ask(now time.Time, offer *Offer) {
	tenant.askedAt = now
	tenant.priority = offer.Priority
	tenant.weight = offer.Weight
	if offer.Weight <= 0 {
		tenant.weight = 1
	}
}

// active reports whether the workspace has a claim to room.
func (tenant *tenant) active(now time.Time) bool {
	return tenant.running > 0 || tenant.waiting > 0 || !now.After(tenant.askedAt.Add(activeFor))
}

func (gate *Gate) tenant(workspace ident.WorkspaceID) *tenant {
	found := gate.tenants[workspace]
	if found != nil {
		return found
	}
	if gate.tenants == nil {
		gate.tenants = make(map[ident.WorkspaceID]*tenant)
	}
	made := &tenant{weight: 1}
	gate.tenants[workspace] = made
	return made
}

func (gate *Gate) forgetTenants(now time.Time) {
	for workspace, tenant := range gate.tenants {
		if !tenant.active(now) {
			delete(gate.tenants, workspace)
		}
	}
}

// shareExceeded reports whether the offer's workspace holds its weighted share
// while the upstream is contended: another workspace below its own share waits
// for the room, or asked lately and would find no room left. A workspace that
// is the only active one may fill the upstream.
func (gate *Gate) shareExceeded(now time.Time, offer *Offer) bool {
	limit := gate.policy.EngineLimit
	reserved := limit > 0 && gate.Load()+1 > limit-reserve(limit)
	if !reserved && len(gate.queue) == 0 {
		return false
	}
	if limit == 0 {
		limit = gate.Load() + 1
	}
	weights := gate.activeWeights(now)
	own := gate.tenant(offer.Workspace)
	if own.running < share(limit, own.weight, weights) {
		return false
	}
	for workspace, other := range gate.tenants {
		if other == own || other.running >= share(limit, other.weight, weights) {
			continue
		}
		if reserved && other.active(now) && gate.fits(other.priority) || gate.waits(workspace) {
			return true
		}
	}
	return false
}

// fits reports whether one more request of priority keeps to its mark.
func (gate *Gate) fits(priority ident.Priority) bool {
	return gate.Load()+1 <= gate.marked(priority, gate.policy.EngineLimit)
}

// waits reports whether a queued request of workspace would fit.
func (gate *Gate) waits(workspace ident.WorkspaceID) bool {
	for i := range gate.queue {
		offer := &gate.queue[i].offer
		if offer.Workspace == workspace && !offer.Alone && gate.fits(offer.Priority) {
			return true
		}
	}
	return false
}

func (gate *Gate) activeWeights(now time.Time) float64 {
	sum := 0.0
	for _, tenant := range gate.tenants {
		if tenant.active(now) {
			sum += tenant.weight
		}
	}
	return sum
}

// share returns how much of limit a workspace is entitled to, at least one.
func share(limit int, weight, weights float64) int {
	if weights <= 0 {
		return limit
	}
	return max(1, int(math.Round(float64(limit)*weight/weights)))
}

// reserve returns the room that is kept free of workspaces at their share.
func reserve(limit int) int { return limit / reservedPart }
