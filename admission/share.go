package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// usage is one workspace's use of the upstream.
type usage struct {
	workspace ident.WorkspaceID
	weight    float64
	running   int
	waiting   int
	// askedAt and priority are those of the latest offer.
	askedAt  time.Time
	priority ident.Priority
}

func (usage *usage) ask(now time.Time, offer *Offer) {
	usage.askedAt = now
	usage.priority = offer.Priority
	usage.weight = offer.Weight
	if offer.Weight <= 0 {
		usage.weight = 1
	}
}

// ratio returns what the workspace runs for each unit of its weight.
func (usage *usage) ratio() float64 { return float64(usage.running) / usage.weight }

// active reports whether the workspace has a claim to room.
func (usage *usage) active(now time.Time) bool {
	return usage.running > 0 || usage.waiting > 0 || !now.After(usage.askedAt.Add(activeFor))
}

// usage returns the workspace's use of the upstream. The list of them is kept in
// the order of their names, so that sums over it are the same each time.
func (gate *Controller) usage(workspace ident.WorkspaceID) *usage {
	place, found := slices.BinarySearchFunc(gate.usages, workspace, func(usage *usage, workspace ident.WorkspaceID) int {
		return strings.Compare(string(usage.workspace), string(workspace))
	})
	if !found {
		gate.usages = slices.Insert(gate.usages, place, &usage{workspace: workspace, weight: 1})
	}
	return gate.usages[place]
}

func (gate *Controller) forgetIdle(now time.Time) {
	gate.usages = slices.DeleteFunc(gate.usages, func(usage *usage) bool { return !usage.active(now) })
}

// shareExceeded reports whether the offer's workspace holds its weighted share
// while the upstream is contended: another workspace below its own share waits
// for the room, or asked lately and would find no room left in the whole pool.
// A workspace that is the only active one may fill the upstream.
func (gate *Controller) shareExceeded(now time.Time, offer *Offer, mean float64) bool {
	reserved := gate.reserved(mean)
	if !reserved && len(gate.queue) == 0 {
		return false
	}
	level := gate.level()
	own := gate.usage(offer.Workspace)
	if !own.above(level) {
		return false
	}
	for _, other := range gate.usages {
		if other == own || other.above(level) {
			continue
		}
		if reserved && other.active(now) && gate.fits(other.priority) || gate.waits(other.workspace) {
			return true
		}
	}
	return false
}

// level returns the fair level of the work in flight for each unit of weight:
// that at which the workspaces, each with what it runs but at most its weight
// times the level, would together leave the reserve free. What the small ones
// leave of their share goes to the large ones.
func (gate *Controller) level() float64 {
	limit := gate.policy.EngineLimit
	if limit == 0 {
		limit = gate.Load()
	}
	room := float64(limit - limit/reservedPart)
	level := 0.0
	for {
		used, weights, next := 0.0, 0.0, math.Inf(1)
		for _, usage := range gate.usages {
			own := usage.ratio()
			used += min(own, level) * usage.weight
			if own > level {
				weights += usage.weight
				next = min(next, own)
			}
		}
		if weights == 0 || level+(room-used)/weights <= next {
			return level + max(0, room-used)/max(weights, math.SmallestNonzeroFloat64)
		}
		level = next
	}
}

// above reports whether one more request would take the workspace above level.
func (usage *usage) above(level float64) bool {
	return float64(usage.running+1) > max(leastShare, level*usage.weight)
}

// reserved reports whether the upstream has only the reserve left, and the pool
// as a whole is so loaded that its bound is the engine's limit. Before that, a
// request that finds no room here finds it elsewhere.
func (gate *Controller) reserved(mean float64) bool {
	limit := gate.policy.EngineLimit
	if limit == 0 || gate.Load()+1 <= limit-limit/reservedPart {
		return false
	}
	return gate.policy.LoadMultiple <= 0 || Bound(gate.policy.LoadMultiple, mean) >= limit
}

// fits reports whether one more request of priority keeps to its mark.
func (gate *Controller) fits(priority ident.Priority) bool {
	return gate.Load()+1 <= gate.marked(priority, gate.policy.EngineLimit)
}

// waits reports whether a queued request of workspace would fit.
func (gate *Controller) waits(workspace ident.WorkspaceID) bool {
	for i := range gate.queue {
		offer := &gate.queue[i].offer
		if offer.Workspace == workspace && !offer.Alone && gate.fits(offer.Priority) {
			return true
		}
	}
	return false
}

// queueShare returns how many of the queue's places the workspace may take: all
// if it is the only one active, and else its weighted share.
func (gate *Controller) queueShare(now time.Time, offer *Offer) int {
	weights := 0.0
	for _, usage := range gate.usages {
		if usage.active(now) {
			weights += usage.weight
		}
	}
	own := gate.usage(offer.Workspace).weight
	return max(leastQueueShare, int(float64(gate.policy.QueueLimit)*own/weights))
}
