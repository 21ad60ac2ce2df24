package soak

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// copyInterval is the time between two copies of the store, and keptCopies how
	// many of them are kept.
	copyInterval = time.Second
	keptCopies   = 4
	// rewriteTime is how long after the return of the store from an older copy the
	// operator and the upstreams have written their rows again.
	rewriteTime = standin.RunnerHeartbeatInterval
	// maxRegisterTime is the time from that return in which all routers have to be
	// registered again.
	maxRegisterTime = 4 * time.Second
)

// storeCopier keeps copies of the store.
type storeCopier struct {
	soak *Soak
	done chan struct{}
}

func (copier *storeCopier) run(ctx context.Context) {
	defer close(copier.done)
	for ctx.Err() == nil {
		copier.soak.keepCopy()
		time.Sleep(copyInterval)
	}
}

func (soak *Soak) keepCopy() {
	latest := soak.store.Copy()
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.copies = append(soak.copies, latest)
	soak.copies = soak.copies[max(len(soak.copies)-keptCopies, 0):]
}

// oldestCopy returns the oldest copy of the store that is kept.
func (soak *Soak) oldestCopy() standin.PlatformCopy {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	return soak.copies[0]
}

// storeRestored takes the store away for a moment and brings it back from a copy some
// seconds old.
func (schedule *schedule) storeRestored(length time.Duration) {
	soak := schedule.soak
	if !schedule.claim(soak.store) {
		return
	}
	setOutage := func(outage bool) {
		schedule.changeSwitches(func(switches *standin.PlatformSwitches) { switches.Outage = outage })
	}
	schedule.injectFor("store back from an older copy", length/4+rewriteTime, func() { setOutage(true) }, func() {
		setOutage(false)
		soak.store.Restore(soak.oldestCopy())
		soak.rewriteConfig()
		soak.writeEvacuation()
		soak.recordRestore()
		schedule.release(soak.store)
	})
}

// rewriteConfig has the operator write the configuration again that was accepted last.
func (soak *Soak) rewriteConfig() {
	soak.configuring.Lock()
	defer soak.configuring.Unlock()
	soak.mu.Lock()
	value := soak.configValue
	soak.mu.Unlock()
	soak.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value})
}

func (soak *Soak) recordRestore() {
	soak.mu.Lock()
	defer soak.mu.Unlock()
	soak.restoredAt = time.Now()
	soak.copies = nil
	soak.copies = append(soak.copies, soak.store.Copy())
}

// checkRegistered checks that the store has the rows of all routers again that run, if
// it was restored from an older copy.
func (soak *Soak) checkRegistered() {
	soak.mu.Lock()
	restoredAt := soak.restoredAt
	soak.mu.Unlock()
	if restoredAt.IsZero() || time.Since(restoredAt) < maxRegisterTime {
		return
	}
	for _, router := range soak.routers {
		name := platform.RowName{Table: platform.RouterTable, Key: platform.Key(router.settings.PeerListen)}
		if !router.crashed() && !soak.store.Has(name) {
			soak.violate("row not written again", "%s is not registered %v after the store came back from an older copy", router.name, time.Since(restoredAt))
		}
	}
}
