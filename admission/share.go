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
	// offeredAt and priority are those of the latest offer.
	offeredAt time.Time
	priority  ident.Priority
}

func (usage *usage) recordOffer(now time.Time, offer *Offer) {
	usage.offeredAt = now
	usage.priority = offer.Priority
	usage.weight = offer.Weight
	if offer.Weight <= 0 {
		usage.weight = 1
	}
}

// runningPerWeight returns the number of running requests per unit of weight.
func (usage *usage) runningPerWeight() float64 { return float64(usage.running) / usage.weight }

// active reports whether the workspace has requests here or made an offer
// within workspaceActiveTime.
func (usage *usage) active(now time.Time) bool {
	return usage.running > 0 || usage.waiting > 0 || !now.After(usage.offeredAt.Add(workspaceActiveTime))
}

// usage returns the workspace's use of the upstream and creates it if
// necessary. The list is sorted by workspace ID, so that floating-point sums
// over it are reproducible.
func (controller *Controller) usage(workspace ident.WorkspaceID) *usage {
	index, found := slices.BinarySearchFunc(controller.usages, workspace, func(usage *usage, workspace ident.WorkspaceID) int {
		return strings.Compare(string(usage.workspace), string(workspace))
	})
	if !found {
		controller.usages = slices.Insert(controller.usages, index, &usage{workspace: workspace, weight: 1})
	}
	return controller.usages[index]
}

func (controller *Controller) dropIdleUsages(now time.Time) {
	controller.usages = slices.DeleteFunc(controller.usages, func(usage *usage) bool { return !usage.active(now) })
}

// shareExceeded reports whether the offer's workspace uses up its weighted
// share while the upstream is contended: another workspace below its own share
// has a queued request that fits, or made an offer lately and would find no
// room in the whole pool. A workspace that is the only active one may fill the
// upstream.
func (controller *Controller) shareExceeded(now time.Time, offer *Offer, mean float64) bool {
	onlyReserveLeft := controller.onlyReserveLeft(mean)
	if !onlyReserveLeft && len(controller.queue) == 0 {
		return false
	}
	level := controller.fairLevel()
	own := controller.usage(offer.Workspace)
	if !own.exceedsLevel(level) {
		return false
	}
	for _, other := range controller.usages {
		if other == own || other.exceedsLevel(level) {
			continue
		}
		if onlyReserveLeft && other.active(now) && controller.fitsMark(other.priority) || controller.hasFittingQueued(other.workspace) {
			return true
		}
	}
	return false
}

// fairLevel returns the max-min fair number of running requests per unit of
// weight: the level at which the workspaces would together leave the reserve
// free if each ran what it runs now, but at most its weight times the level.
// What small workspaces leave of their share goes to the large ones.
func (controller *Controller) fairLevel() float64 {
	limit := controller.policy.EngineLimit
	if limit == 0 {
		limit = controller.Load()
	}
	room := float64(limit - limit/reserveDivisor)
	level := 0.0
	for {
		used, weights, next := 0.0, 0.0, math.Inf(1)
		for _, usage := range controller.usages {
			own := usage.runningPerWeight()
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

// exceedsLevel reports whether one more running request would raise the
// workspace above both level and minRunningShare.
func (usage *usage) exceedsLevel(level float64) bool {
	return float64(usage.running+1) > max(minRunningShare, level*usage.weight)
}

// onlyReserveLeft reports whether this upstream has no room left but the
// reserve, while the pool is so loaded that its bound is the engine's limit.
// Below that, a request that finds no room here finds it at another upstream.
func (controller *Controller) onlyReserveLeft(mean float64) bool {
	limit := controller.policy.EngineLimit
	if limit == 0 || controller.Load()+1 <= limit-limit/reserveDivisor {
		return false
	}
	return controller.policy.LoadMultiple <= 0 || Bound(controller.policy.LoadMultiple, mean) >= limit
}

// fitsMark reports whether one more running request is within what the mark of
// priority allows of the engine's limit.
func (controller *Controller) fitsMark(priority ident.Priority) bool {
	return controller.Load()+1 <= controller.limitFor(priority, controller.policy.EngineLimit)
}

// hasFittingQueued reports whether a queued request of workspace, other than an
// exclusive offer, fits the mark of its priority.
func (controller *Controller) hasFittingQueued(workspace ident.WorkspaceID) bool {
	for i := range controller.queue {
		offer := &controller.queue[i].offer
		if offer.Workspace == workspace && !offer.Exclusive && controller.fitsMark(offer.Priority) {
			return true
		}
	}
	return false
}

// queueShare returns how many requests the offer's workspace may have queued:
// the whole QueueLimit if no other workspace is active, and otherwise its
// weighted share, at least minQueueShare.
func (controller *Controller) queueShare(now time.Time, offer *Offer) int {
	weights := 0.0
	for _, usage := range controller.usages {
		if usage.active(now) {
			weights += usage.weight
		}
	}
	own := controller.usage(offer.Workspace).weight
	return max(minQueueShare, int(float64(controller.policy.QueueLimit)*own/weights))
}
