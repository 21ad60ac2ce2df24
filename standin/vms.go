package standin

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// vmState is one version of the VM list.
type vmState struct {
	version ident.Revision
	records []platform.Record
}

// vmList is the VM list of the platform, which shows changes with a delay. The
// zero value is empty. It is not safe for concurrent use.
type vmList struct {
	vms     map[ident.VMID]platform.VM
	version ident.Revision
	states  lagged[vmState]
}

func (list *vmList) put(now time.Time, vm platform.VM) {
	if list.vms == nil {
		list.vms = make(map[ident.VMID]platform.VM)
	}
	list.vms[vm.ID] = vm
	list.publish(now)
}

func (list *vmList) remove(now time.Time, id ident.VMID) {
	delete(list.vms, id)
	list.publish(now)
}

func (list *vmList) publish(now time.Time) {
	list.version++
	list.states.set(now, list.encode())
}

func (list *vmList) encode() vmState {
	state := vmState{version: list.version}
	for _, id := range slices.Sorted(maps.Keys(list.vms)) {
		value, err := json.Marshal(list.vms[id])
		if err != nil {
			panic("standin: encode VM list: " + err.Error())
		}
		record := platform.Record{Table: platform.VMTable, Key: platform.Key(id), Value: value, Version: list.version}
		state.records = append(state.records, record)
	}
	return state
}

// at returns the list as it was at the time until. It never returns an older
// version than before.
func (list *vmList) at(until time.Time) vmState { return list.states.get(until) }
