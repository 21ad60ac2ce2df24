package vmlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Change is the difference between two states of the list.
type Change struct {
	// Put holds the VMs that were added or modified.
	Put []platform.VM
	// Gone holds the IDs of the VMs that were removed.
	Gone []ident.VMID
}

// News is the response to an Ask: the state of the responding daemon and, if
// possible, the change that leads to it.
type News struct {
	// ETag identifies the state; it is empty if the daemon has none.
	ETag string
	// AgeMs is the time in milliseconds since the platform confirmed this state. It
	// is an age because the clocks of VMs differ.
	AgeMs int64
	// Known says that Change leads from the state in the request to this one.
	Known  bool
	Change Change
}

// Ask requests the changes after the state ETag. The response is a News.
type Ask struct {
	ETag string
}

// Notice announces a new state to another daemon, which can request it from the
// sender with an Ask.
type Notice struct {
	// From is the peer address of the sender.
	From string
	ETag string
	// AgeMs is as in News.
	AgeMs int64
}

// List is the latest known state of the platform's list and the changes that led
// to it. The zero value has no state. A List is not safe for concurrent use.
type List struct {
	etag string
	// confirmedAt is the latest time at which the platform is known to have had this
	// state.
	confirmedAt time.Time
	vms         map[ident.VMID]platform.VM
	// steps are the latest changes up to this state, oldest first. They hold at most
	// as many VMs as the list: a longer change would cost more than the whole list.
	steps []step
}

// step is the change from the state fromETag to the next one.
type step struct {
	fromETag string
	change   Change
}

func (change *Change) size() int { return len(change.Put) + len(change.Gone) }

// ETag returns the platform's identifier of the state, or an empty string if
// there is no state or the platform doesn't identify it.
func (list *List) ETag() string { return list.etag }

// Len returns the number of VMs in the list.
func (list *List) Len() int { return len(list.vms) }

// Notice returns the announcement of the state at the time now. From is the peer
// address of this daemon.
func (list *List) Notice(now time.Time, from string) Notice {
	return Notice{From: from, ETag: list.etag, AgeMs: now.Sub(list.confirmedAt).Milliseconds()}
}

// ConfirmedAt returns the latest time at which the platform is known to have had
// this state.
func (list *List) ConfirmedAt() time.Time { return list.confirmedAt }

// VMs returns a copy of the list in ascending order of VM IDs.
func (list *List) VMs() []platform.VM {
	byID := func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(list.vms), byID)
}

// Confirm records that the platform still had the state etag at the time at. It
// has no effect if the list has another state.
func (list *List) Confirm(at time.Time, etag string) {
	if etag == list.etag && at.After(list.confirmedAt) {
		list.confirmedAt = at
	}
}

// Replace sets the state to one that the platform had at the time at. It returns
// false and changes nothing if the present state was confirmed later.
func (list *List) Replace(at time.Time, etag string, vms []platform.VM) bool {
	if at.Before(list.confirmedAt) {
		return false
	}
	next := make(map[ident.VMID]platform.VM, len(vms))
	for _, vm := range vms {
		next[vm.ID] = vm
	}
	change := diff(list.vms, next)
	list.vms = next
	list.recordStep(etag, change)
	list.confirmedAt = at
	return true
}

// diff returns the change that leads from one state to another.
func diff(from, to map[ident.VMID]platform.VM) Change {
	var change Change
	for id, vm := range to {
		if former, found := from[id]; !found || !equal(former, vm) {
			change.Put = append(change.Put, vm)
		}
	}
	for id := range from {
		if _, found := to[id]; !found {
			change.Gone = append(change.Gone, id)
		}
	}
	return change
}

// equal compares two VMs, and their upstreams by value.
func equal(a, b platform.VM) bool {
	if (a.Upstream == nil) != (b.Upstream == nil) || (a.Upstream != nil && *a.Upstream != *b.Upstream) {
		return false
	}
	a.Upstream, b.Upstream = nil, nil
	return a == b
}

// recordStep sets etag, appends the change that led to it and drops the oldest
// steps that exceed the limit. Without an ETag on both sides there is no step, and
// the earlier ones no longer lead to the present state.
func (list *List) recordStep(etag string, change Change) {
	if list.etag == "" || etag == "" {
		list.steps = nil
	} else if etag != list.etag {
		list.steps = append(list.steps, step{fromETag: list.etag, change: change})
	}
	list.etag = etag
	size := 0
	for i := len(list.steps) - 1; i >= 0; i-- {
		size += list.steps[i].change.size()
		if size > len(list.vms) {
			list.steps = slices.Clone(list.steps[i+1:])
			return
		}
	}
}

// Since returns the response to a daemon that has the state etag.
func (list *List) Since(now time.Time, etag string) News {
	news := News{ETag: list.etag, AgeMs: now.Sub(list.confirmedAt).Milliseconds()}
	if list.etag == "" || etag == "" {
		return news
	}
	if etag == list.etag {
		news.Known = true
		return news
	}
	for i := len(list.steps) - 1; i >= 0; i-- {
		if list.steps[i].fromETag == etag {
			news.Known = true
			news.Change = mergeSteps(list.steps[i:])
			return news
		}
	}
	return news
}

// mergeSteps returns a single change with the effect of consecutive steps.
func mergeSteps(steps []step) Change {
	put, removed := make(map[ident.VMID]platform.VM), make(map[ident.VMID]struct{})
	for _, step := range steps {
		for _, vm := range step.change.Put {
			put[vm.ID] = vm
			delete(removed, vm.ID)
		}
		for _, id := range step.change.Gone {
			delete(put, id)
			removed[id] = struct{}{}
		}
	}
	return Change{Put: slices.Collect(maps.Values(put)), Gone: slices.Collect(maps.Keys(removed))}
}

// Newer reports whether the platform confirmed a state that was ageMs milliseconds
// old at the time at later than the present state of the list.
func (list *List) Newer(at time.Time, ageMs int64) bool {
	return at.Add(-time.Duration(ageMs) * time.Millisecond).After(list.confirmedAt)
}

// Apply applies the response of another daemon to a request for the changes after
// the state etag, which was sent at the time asked. It has no effect if the
// response has no change, if the list's state is no longer etag or if the response
// is not newer. It reports whether the list has changed.
func (list *List) Apply(asked time.Time, etag string, news News) bool {
	if !news.Known || news.ETag == "" || etag != list.etag || !list.Newer(asked, news.AgeMs) {
		return false
	}
	list.confirmedAt = asked.Add(-time.Duration(news.AgeMs) * time.Millisecond)
	if news.ETag == list.etag {
		return false
	}
	list.vms = maps.Clone(list.vms)
	for _, vm := range news.Change.Put {
		list.vms[vm.ID] = vm
	}
	for _, id := range news.Change.Gone {
		delete(list.vms, id)
	}
	list.recordStep(news.ETag, news.Change)
	return true
}
