package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// sourceStore is the source of what this router read from the store itself, in log lines.
const sourceStore = "store"

// evacuationsOf returns the states of evacuations in rows of the operators' table.
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

// ApplyRemoteEvacuations applies the states received from the router at address, and returns
// the newer states that it lacks.
func (updater *Updater) ApplyRemoteEvacuations(states []evacuation.State, address string) []evacuation.State {
	return updater.applyEvacuations(address, func(now time.Time) evacuation.Result {
		return updater.Evacuations.Apply(now, states)
	}).Outdated
}

// applyEvacuations applies a reading, enforces what it changed and notifies the other
// routers. The end of an evacuation is passed to OnEvacuationEnd before the zone is usable
// again, so that no request reaches an upstream of it that is not yet known to be cold.
func (updater *Updater) applyEvacuations(source string, apply func(now time.Time) evacuation.Result) evacuation.Result {
	result := updater.enforceEvacuations(source, apply)
	if len(result.Changed) > 0 {
		updater.RelayEvacuations()
	}
	return result
}

// enforceEvacuations applies a reading, enforces what it changed and reports it. All of
// that is done under evacuationMu, so that changes are reported in the order in which they
// come into force.
func (updater *Updater) enforceEvacuations(source string, apply func(now time.Time) evacuation.Result) evacuation.Result {
	updater.evacuationMu.Lock()
	defer updater.evacuationMu.Unlock()
	result := apply(time.Now())
	if len(result.Changed) == 0 {
		return result
	}
	evacuated, _ := updater.Evacuations.Evacuated()
	zones := make([]ident.Zone, len(evacuated))
	for i, state := range evacuated {
		zones[i] = state.Zone
	}
	if updater.OnEvacuationEnd != nil {
		for _, state := range result.Changed {
			if !state.Evacuated {
				updater.OnEvacuationEnd(state.Zone, updater.Registry.InZone(state.Zone))
			}
		}
	}
	updater.Registry.SetEvacuated(zones)
	for _, state := range result.Changed {
		updater.reportEvacuation(state, source)
	}
	return result
}

// reportEvacuation counts and logs that the evacuation of a zone began or ended.
func (updater *Updater) reportEvacuation(state evacuation.State, source string) {
	upstreams := len(updater.Registry.InZone(state.Zone))
	event, message, level := "evacuation.ended", "Evacuation of a zone ended.", slog.LevelInfo
	if state.Evacuated {
		event, message, level = "evacuation.began", "Zone evacuated.", slog.LevelWarn
	}
	updater.Metrics.CountEvent(event)
	updater.Logger.Log(context.Background(), level, message, "Zone", state.Zone, "Revision", state.Revision, "Upstreams", upstreams, "Source", source)
}
