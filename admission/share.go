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
func (controller *Controller) usage(workspace ident.WorkspaceID) *usage {
	place, found := slices.BinarySearchFunc(controller.usages, workspace, func(usage *usage, workspace ident.WorkspaceID) int {
		return strings.Compare(string(usage.workspace), string(workspace))
	})
	if !found {
		controller.usages = slices.Insert(controller.usages, place, &usage{workspace: workspace, weight: 1})
	}
	return controller.usages[place]
}

func (controller *Controller) forgetIdle(now time.Time) {
	controller.usages = slices.DeleteFunc(controller.usages, func(usage *usage) bool { return !usage.active(now) })
}

// shareExceeded reports whether the offer's workspace holds its weighted share
// while the upstream is contended: another workspace below its own share waits
// for the room, or asked lately and would find no room left in the whole pool.
// A workspace that is the only active one may fill the upstream.
func (controller *Controller) shareExceeded(now time.Time, offer *Offer, mean float64) bool {
	reserved := controller.reserved(mean)
	if !reserved && len(controller.queue) == 0 {
		return false
	}
	level := controller.level()
	own := controller.usage(offer.Workspace)
	if !own.above(level) {
		return false
	}
	for _, other := range controller.usages {
		if other == own || other.above(level) {
			continue
		}
		if reserved && other.active(now) && controller.fits(other.priority) || controller.waits(other.workspace) {
			return true
		}
	}
	return false
}

// level returns the fair level of the work in flight for each unit of weight:
// that at which the workspaces, each with what it runs but at most its weight
// times the level, would together leave the reserve free. What the small ones
// leave of their share goes to the large ones.
func (controller *Controller) level() float64 {
	limit := controller.policy.EngineLimit
	if limit == 0 {
		limit = controller.Load()
	}
	room := float64(limit - limit/reservedPart)
	level := 0.0
	for {
		used, weights, next := 0.0, 0.0, math.Inf(1)
		for _, usage := range controller.usages {
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
func (controller *Controller) reserved(mean float64) bool {
	limit := controller.policy.EngineLimit
	if limit == 0 || controller.Load()+1 <= limit-limit/reservedPart {
		return false
	}
	return controller.policy.LoadMultiple <= 0 || Bound(controller.policy.LoadMultiple, mean) >= limit
}

// fits reports whether one more request of priority keeps to its mark.
func (controller *Controller) fits(priority ident.Priority) bool {
	return controller.Load()+1 <= controller.marked(priority, controller.policy.EngineLimit)
}

// waits reports whether a queued request of workspace would fit.
func (controller *Controller) waits(workspace ident.WorkspaceID) bool {
	for i := range controller.queue {
		offer := &controller.queue[i].offer
		if offer.Workspace == workspace && !offer.Alone && controller.fits(offer.Priority) {
			return true
		}
	}
	return false
}

// queueShare returns how many of the queue's places the workspace may take: all
// if it is the only one active, and else its weighted share.
func (controller *Controller) queueShare(now time.Time, offer *Offer) int {
	weights := 0.0
	for _, usage := range controller.usages {
		if usage.active(now) {
			weights += usage.weight
		}
	}
	own := controller.usage(offer.Workspace).weight
	return max(leastQueueShare, int(float64(controller.policy.QueueLimit)*own/weights))
}
