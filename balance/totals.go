package balance

// totals holds the total load of each upstream over several senders, each of which has
// loads of its own; upstreams without load have no entry.
type totals[Key comparable] map[Key]Load

// apply changes loads, those of one sender, to what its message says. If that is complete,
// the sender has no load at upstreams that are not in it.
func (totals totals[Key]) apply(loads, message map[Key]Load, complete bool) {
	if complete {
		totals.retain(loads, message)
	}
	for upstream, load := range message {
		totals.set(loads, upstream, load)
	}
}

// retain removes the upstreams that are not in kept from loads, those of one sender.
func (totals totals[Key]) retain(loads, kept map[Key]Load) {
	for upstream := range loads {
		if _, found := kept[upstream]; !found {
			totals.set(loads, upstream, Load{})
		}
	}
}

// set sets the load of upstream in loads, those of one sender, and adjusts its total.
func (totals totals[Key]) set(loads map[Key]Load, upstream Key, load Load) {
	setOrDelete(totals, upstream, totals[upstream].adjust(loads[upstream], load))
	setOrDelete(loads, upstream, load)
}

// setOrDelete sets the load of upstream in loads, and deletes the entry if the load is
// zero.
func setOrDelete[Key comparable](loads map[Key]Load, upstream Key, load Load) {
	if load == (Load{}) {
		delete(loads, upstream)
		return
	}
	loads[upstream] = load
}
