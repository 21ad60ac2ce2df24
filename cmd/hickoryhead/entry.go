package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
)

// logFlush bounds the time at the end in which the last log lines are written.
const logFlush = 200 * time.Millisecond

// logLines writes a daemon's log.
type logLines struct {
	async *logging.Async
	done  chan struct{}
}

func (lines *logLines) start() context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	go lines.run(ctx)
	return cancel
}

func (lines *logLines) run(ctx context.Context) {
	defer close(lines.done)
	lines.async.Run(ctx)
}

// finish waits a short while for the lines that are not written yet.
func (lines *logLines) finish(cancel context.CancelFunc) {
	cancel()
	select {
	case <-lines.done:
	case <-time.After(logFlush):
	}
}

// newEntry returns the command that runs a router of an entry VM, which logs to
// its standard output.
func newEntry() *cobra.Command {
	var flags daemonFlags
	cmd := &cobra.Command{
		Use:   "entry [--settings FILE]",
		Short: "Run a router on an entry VM of the platform",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.settings == "" {
				flags.settings = platform.SettingsPath()
			}
			loaded, err := loadSettings[config.Entry](flags.settings)
			if err != nil {
				return err
			}
			lines := &logLines{async: logging.NewAsync(cmd.OutOrStdout()), done: make(chan struct{})}
			logger, err := flags.logger(lines.async)
			if err != nil {
				return err
			}
			defer lines.finish(lines.start())
			ctx, stop := untilStopped(cmd.Context())
			defer stop()
			daemon := &entry.Daemon{
				Config:       loaded,
				Reload:       func() (config.Entry, error) { return loadSettings[config.Entry](flags.settings) },
				Logger:       logger.With("VM", loaded.VM),
				LinesDropped: lines.async.Dropped,
			}
			return daemon.Run(ctx)
		},
	}
	flags.add(cmd)
	if err := cmd.Flags().Set("log-format", string(logging.JSON)); err != nil {
		panic(err)
	}
	return cmd
}
