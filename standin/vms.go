package standin

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// vmState is one state of the list of VMs, encoded.
type vmState struct {
	etag string
	body []byte
}

// vmList is the platform's lagging list of VMs. The zero value is empty. It is
// not safe for concurrent use.
type vmList struct {
	vms     map[ident.VMID]platform.VM
	version uint64
	states  lagged[vmState]
}

func (list *vmList) put(now time.Time, vm platform.VM) {
	if list.vms == nil {
		list.vms = make(map[ident.VMID]platform.VM)
	}
	list.vms[vm.ID] = vm
	list.changed(now)
}

func (list *vmList) remove(now time.Time, id ident.VMID) {
	delete(list.vms, id)
	list.changed(now)
}

func (list *vmList) changed(now time.Time) {
	list.version++
	list.states.set(now, list.encode())
}

func (list *vmList) encode() vmState {
	state := platform.VMList{VMs: make([]platform.VM, 0, len(list.vms))}
	for _, id := range slices.Sorted(maps.Keys(list.vms)) {
		state.VMs = append(state.VMs, list.vms[id])
	}
	body, err := json.Marshal(state)
	if err != nil {
		panic("standin: list of VMs: " + err.Error())
	}
	return vmState{etag: strconv.Quote(strconv.FormatUint(list.version, 10)), body: body}
}

// at returns the list as it was at the time until.
func (list *vmList) at(until time.Time) vmState {
	state := list.states.get(until)
	if state.body == nil {
		return vmState{etag: `"0"`, body: []byte(`{"VMs":[]}`)}
	}
	return state
}
