package follow

import (
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// sourceStore is the source of what this router read from the store itself, in log lines.
const sourceStore = "store"

// evacuationsOf returns what the rows of the operators' table say about evacuations.
func evacuationsOf(records []platform.Record) []evacuation.State {
	var states []evacuation.State
	for _, record := range records {
		if state, found := platform.DecodeEvacuation(record); found {
			states = append(states, state)
		}
	}
	return states
}

// ReplaceEvacuations applies the complete list of evacuated zones at a version of the store.
// source is the address of the router that gave it, or "store".
func (updater *Updater) ReplaceEvacuations(evacuated []evacuation.State, version ident.Revision, source string) {
	updater.applyEvacuations(source, func(now time.Time) evacuation.Result {
		return updater.Evacuations.Replace(now, version, evacuated)
	})
}

// ApplyRemoteEvacuations applies what another router at address knows of evacuations, and
// returns the newer states that it lacks.
func (updater *Updater) ApplyRemoteEvacuations(states []evacuation.State, address string) []evacuation.State {
	return updater.applyEvacuations(address, func(now time.Time) evacuation.Result {
		return updater.Evacuations.Apply(now, states)
	}).Outdated
}

// applyEvacuations applies a reading, puts what it changed in force and tells the other
// routers.
func (updater *Updater) applyEvacuations(source string, apply func(now time.Time) evacuation.Result) evacuation.Result {
	updater.evacuationMu.Lock()
	result := apply(time.Now())
	if len(result.Changed) > 0 {
		evacuated, _ := updater.Evacuations.Evacuated()
		zones := make([]ident.Zone, len(evacuated))
		for i, state := range evacuated {
			zones[i] = state.Zone
		}
		updater.Registry.SetEvacuated(zones)
	}
	updater.evacuationMu.Unlock()
	if len(result.Changed) == 0 {
		return result
	}
	updater.RelayEvacuations()
	for _, state := range result.Changed {
		updater.reportEvacuation(state, source)
	}
	return result
}

// reportEvacuation counts and logs that the evacuation of a zone began or ended, and calls
// OnEvacuationEnd.
func (updater *Updater) reportEvacuation(state evacuation.State, source string) {
	upstreams := updater.Registry.InZone(state.Zone)
	if state.Evacuated {
		updater.Metrics.CountEvent("evacuation.began")
		updater.Logger.Warn("Zone evacuated.", "Zone", state.Zone, "Revision", state.Revision, "Upstreams", len(upstreams), "Source", source)
		return
	}
	updater.Metrics.CountEvent("evacuation.ended")
	updater.Logger.Info("Evacuation of a zone ended.", "Zone", state.Zone, "Revision", state.Revision, "Upstreams", len(upstreams), "Source", source)
	if updater.OnEvacuationEnd != nil {
		updater.OnEvacuationEnd(state.Zone, upstreams)
	}
}
