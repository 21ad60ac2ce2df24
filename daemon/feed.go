package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settings"
)

const (
	feedPrefix   = platform.Key("settings/")
	feedInterval = time.Second
	feedLimit    = 1000
)

// feed polls the settings of all teams from the platform's table.
type feed struct {
	platform *platform.Client
	logger   *slog.Logger
	view     atomic.Pointer[settings.View]
}

func (feed *feed) run(ctx context.Context) {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for {
		if err := feed.read(ctx); err != nil && ctx.Err() == nil {
			feed.logger.Warn("Settings were not read.", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (feed *feed) read(ctx context.Context) error {
	rows, err := feed.platform.Scan(ctx, feedPrefix, "", feedLimit)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var subtree settings.Subtree
		if err := json.Unmarshal(row.Value, &subtree); err != nil {
			return err
		}
		view, adopted := feed.view.Load().Adopt(&subtree)
		if adopted {
			feed.view.Store(view)
		}
	}
	return nil
}
