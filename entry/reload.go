package entry

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// applyTuning passes the settings that may change at run time to the handler.
func (daemon *Daemon) applyTuning() {
	settings := daemon.settings.Load()
	daemon.registry.SetRegions(settings.Zones)
	tuning := forward.Tuning{
		Chooser: &balance.Chooser{
			Loads:       &daemon.loads,
			CacheIndex:  &daemon.cacheIndex,
			Ejected:     daemon.health.Ejected,
			OnProbation: daemon.health.OnProbation,
			Limit:       daemon.limitState,
			Multiple:    settings.LoadMultiple,
			Slack:       loadBoundSlack,
		},
		RetryShare: settings.RetryShare,
		RetrySlack: settings.RetrySlack,
	}
	if settings.ExpectedCost {
		tuning.Costs = &daemon.costs
		tuning.Chooser.FirstEvent = daemon.firstEvent
	}
	if settings.AdmissionControl {
		tuning.Overload = &daemon.overload
	}
	daemon.handler.Tune(tuning)
}

// firstEvent returns the predicted time to the first event of a request that finds the
// given work at an upstream, and false if too little is known of its service.
func (daemon *Daemon) firstEvent(now time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
	return daemon.costs.FirstEvent(now, upstream, cost.Work{Prefill: work.Prefill, Local: work.Local, Remote: work.Pending - work.Local})
}

// limitState returns how an upstream stands to the limit that it names, or to its rate while
// it is cold.
func (daemon *Daemon) limitState(now time.Time, upstream registry.Upstream) balance.LimitState {
	switch daemon.quota.State(now, upstream) {
	case quota.Below:
		return balance.BelowLimit
	case quota.Reached:
		return balance.AtLimit
	case quota.BelowColdRate:
		return balance.BelowColdRate
	case quota.ColdRateReached:
		return balance.AtColdRate
	}
	return balance.Unlimited
}

// reloader reloads the settings file on SIGHUP and every reloadInterval.
type reloader struct {
	daemon  *Daemon
	signals chan os.Signal
}

func (reloader *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloader.signals:
			reloader.reload("signal")
		case <-ticker.C:
			reloader.reload("timer")
		}
	}
}

// reload applies a changed settings file. A file that can't be read or is
// invalid changes nothing. reason is logged.
func (reloader *reloader) reload(reason string) {
	daemon := reloader.daemon
	if daemon.Reload == nil {
		return
	}
	loaded, err := daemon.Reload()
	if err != nil {
		daemon.metrics.CountEvent("settings.invalid")
		daemon.Logger.Error("Settings not reloaded.", "Reason", reason, "Error", err)
		return
	}
	current := *daemon.settings.Load()
	if reflect.DeepEqual(loaded, current) {
		if reason == "signal" {
			daemon.Logger.Info("Settings reloaded.", "Reason", reason, "Changed", false)
		}
		return
	}
	restart := !reflect.DeepEqual(restartSettings(loaded), restartSettings(current))
	settings := withTunableSettings(current, loaded)
	daemon.settings.Store(&settings)
	daemon.applyTuning()
	daemon.metrics.CountEvent("settings.reloaded")
	daemon.Logger.Info("Settings reloaded.", "Reason", reason, "Changed", true, "RestartNeeded", restart)
}

// restartSettings returns settings with zero values for those that may change
// without a restart.
func restartSettings(settings config.Entry) config.Entry {
	return withTunableSettings(settings, config.Entry{})
}

// withTunableSettings returns settings with the values of loaded for those that
// may change without a restart.
func withTunableSettings(settings, loaded config.Entry) config.Entry {
	settings.LoadMultiple = loaded.LoadMultiple
	settings.RetryShare = loaded.RetryShare
	settings.RetrySlack = loaded.RetrySlack
	settings.ColdOverage = loaded.ColdOverage
	settings.ColdSlack = loaded.ColdSlack
	settings.StopTimeoutMs = loaded.StopTimeoutMs
	settings.Zones = loaded.Zones
	settings.ExpectedCost = loaded.ExpectedCost
	settings.AdmissionControl = loaded.AdmissionControl
	return settings
}
