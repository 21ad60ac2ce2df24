package vmlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Change is the step from one state of the list to another.
type Change struct {
	// Put holds the VMs that are new or different.
	Put  []platform.VM
	Gone []ident.VMID
}

// News is what a daemon answers to another that names the state it has.
type News struct {
	ETag string
	// AgeMs is the time since the platform confirmed this state, since the
	// clocks of VMs differ.
	AgeMs int64
	// Known says that Change leads from the asker's state to this one.
	Known  bool
	Change Change
}

// Ask is the question of a daemon that has the state ETag. The answer is a News.
type Ask struct {
	ETag string
}

// Notice tells another daemon of a new state, which it may ask the sender for.
type Notice struct {
	// From is the peer address of the sender.
	From  string
	ETag  string
	AgeMs int64
}

// List is the newest known state of the platform's list. The zero value knows
// none. It is not safe for concurrent use.
type List struct {
	etag string
	// confirmedAt is when the platform had this state.
	confirmedAt time.Time
	vms         map[ident.VMID]platform.VM
	// steps lead from one earlier state to the next, up to this one. Together
	// they hold at most as many VMs as the list.
	steps []step
}

// step is the change that followed the state etag.
type step struct {
	etag   string
	change Change
}

func (change *Change) size() int { return len(change.Put) + len(change.Gone) }

// ETag returns the platform's name for the state; empty means none.
func (list *List) ETag() string { return list.etag }

// Len returns the number of VMs.
func (list *List) Len() int { return len(list.vms) }

// Notice returns what tells others of the state at the time now.
func (list *List) Notice(now time.Time, from string) Notice {
	return Notice{From: from, ETag: list.etag, AgeMs: now.Sub(list.confirmedAt).Milliseconds()}
}

// ConfirmedAt returns when the platform had this state.
func (list *List) ConfirmedAt() time.Time { return list.confirmedAt }

// VMs returns the VMs in the order of their IDs.
func (list *List) VMs() []platform.VM {
	byID := func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(list.vms), byID)
}

// Confirm takes in the word of the platform that it still had the state etag at
// the time at.
func (list *List) Confirm(at time.Time, etag string) {
	if etag == list.etag && at.After(list.confirmedAt) {
		list.confirmedAt = at
	}
}

// Replace takes in a state that the platform had at the time at, unless a later
// one is held. It reports whether it did.
func (list *List) Replace(at time.Time, etag string, vms []platform.VM) bool {
	if at.Before(list.confirmedAt) {
		return false
	}
	next := make(map[ident.VMID]platform.VM, len(vms))
	for _, vm := range vms {
		next[vm.ID] = vm
	}
	change := difference(list.vms, next)
	list.vms = next
	list.follow(etag, change)
	list.confirmedAt = at
	return true
}

// difference returns the step from one state to another.
func difference(from, to map[ident.VMID]platform.VM) Change {
	var change Change
	for id, vm := range to {
		if former, found := from[id]; !found || !same(former, vm) {
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

func same(a, b platform.VM) bool {
	if (a.Upstream == nil) != (b.Upstream == nil) || (a.Upstream != nil && *a.Upstream != *b.Upstream) {
		return false
	}
	a.Upstream, b.Upstream = nil, nil
	return a == b
}

// follow remembers the step to etag and drops the oldest steps above the bound.
// A state without a name cannot be stepped from or to.
func (list *List) follow(etag string, change Change) {
	if list.etag == "" || etag == "" {
		list.steps = nil
	} else if etag != list.etag {
		list.steps = append(list.steps, step{etag: list.etag, change: change})
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

// Since answers a daemon that has the state etag.
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
		if list.steps[i].etag == etag {
			news.Known = true
			news.Change = join(list.steps[i:])
			return news
		}
	}
	return news
}

// join returns the change that several steps amount to.
func join(steps []step) Change {
	put, gone := make(map[ident.VMID]platform.VM), make(map[ident.VMID]struct{})
	for _, step := range steps {
		for _, vm := range step.change.Put {
			put[vm.ID] = vm
			delete(gone, vm.ID)
		}
		for _, id := range step.change.Gone {
			delete(put, id)
			gone[id] = struct{}{}
		}
	}
	return Change{Put: slices.Collect(maps.Values(put)), Gone: slices.Collect(maps.Keys(gone))}
}

// Newer reports whether a state of the age ageMs at the time at was confirmed by
// the platform after the one that is held.
func (list *List) Newer(at time.Time, ageMs int64) bool {
	return at.Add(-time.Duration(ageMs) * time.Millisecond).After(list.confirmedAt)
}

// Apply takes in the answer of another daemon that was asked at the time asked
// for what came after the state etag. It reports whether the list has changed.
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
	list.follow(news.ETag, news.Change)
	return true
}
