package standin

import (
	"net/http"
	"sync"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Platform stands in for the platform: a table with conditional transactions,
// an object store and a lagging list of VMs, all in memory. The zero value is
// empty and ready.
type Platform struct {
	Clock

	once sync.Once
	mux  *http.ServeMux

	mu         sync.Mutex
	table      table
	list       vmList
	objects    map[string][]byte
	switches   PlatformSwitches
	writeLimit limit
	readLimit  limit
	lossDue    float64
	counters   PlatformCounters
}

// Commit applies transaction, whatever faults are switched on. Where a check
// fails it returns false and the present rows of the failed checks.
func (platform *Platform) Commit(transaction platform.Transaction) (ident.Revision, platform.Conflict, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	committed, conflict, applied := platform.commit(transaction)
	return committed.Revision, conflict, applied
}

func (platform *Platform) commit(transaction platform.Transaction) (platform.Committed, platform.Conflict, bool) {
	committed, conflict, applied := platform.table.commit(transaction)
	if !applied {
		platform.counters.Conflicts++
		return committed, conflict, false
	}
	platform.counters.Commits++
	platform.counters.RowsWritten += int64(len(transaction.Writes))
	return committed, conflict, true
}

// Rows returns the rows of keys that are present, in the order of the keys,
// whatever faults are switched on.
func (platform *Platform) Rows(keys ...platform.Key) []platform.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.table.read(keys).Rows
}

// Scan returns every row whose key begins with prefix, in the order of the keys,
// whatever faults are switched on.
func (platform *Platform) Scan(prefix platform.Key) []platform.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.table.scan(string(prefix), "", len(platform.table.rows)).Rows
}

// PutVM adds a VM to the list, or changes it.
func (platform *Platform) PutVM(vm platform.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.put(platform.now(), vm)
}

// DeleteVM takes a VM off the list.
func (platform *Platform) DeleteVM(id ident.VMID) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.remove(platform.now(), id)
}
