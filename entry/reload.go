package entry

import (
	"context"
	"os"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/forward"
)

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = 5 * time.Second

// tune puts the settings in force that may change while the router runs.
func (daemon *Daemon) tune() {
	settings := daemon.inForce.Load()
	daemon.handler.Tune(forward.Tuning{
		Chooser: &balance.Chooser{
			Loads:       &daemon.loads,
			CacheIndex:  &daemon.cacheIndex,
			Ejected:     daemon.health.Ejected,
			OnProbation: daemon.health.OnProbation,
			Multiple:    settings.LoadMultiple,
			Slack:       boundSlack,
		},
		RetryShare: settings.RetryShare,
		RetrySlack: settings.RetrySlack,
	})
}

// reloader reads the settings file again on SIGHUP, and from time to time.
type reloader struct {
	daemon  *Daemon
	signals chan os.Signal
}

func (reloader *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadEvery)
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

// reload puts a changed settings file in force. One that can't be read or is
// not valid changes nothing.
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
	present := *daemon.inForce.Load()
	if loaded == present {
		if reason == "signal" {
			daemon.Logger.Info("Settings reloaded.", "Reason", reason, "Changed", false)
		}
		return
	}
	restart := fixed(loaded) != fixed(present)
	settings := tunedBy(present, loaded)
	daemon.inForce.Store(&settings)
	daemon.tune()
	daemon.metrics.CountEvent("settings.reloaded")
	daemon.Logger.Info("Settings reloaded.", "Reason", reason, "Changed", true, "RestartNeeded", restart)
}

// fixed returns the settings that need a restart.
func fixed(settings config.Entry) config.Entry {
	return tunedBy(settings, config.Entry{})
}

// tunedBy returns settings with those of loaded that need no restart.
func tunedBy(settings, loaded config.Entry) config.Entry {
	settings.LoadMultiple = loaded.LoadMultiple
	settings.RetryShare = loaded.RetryShare
	settings.RetrySlack = loaded.RetrySlack
	settings.StopTimeoutMs = loaded.StopTimeoutMs
	return settings
}
