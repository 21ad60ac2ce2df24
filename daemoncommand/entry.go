package daemoncommand

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

// logFlushTimeout bounds how long a stopping daemon waits for its last log
// lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// logWriter writes a daemon's log lines in a goroutine of its own, so that a
// slow reader of the log does not block the daemon.
type logWriter struct {
	async *logging.Async
	done  chan struct{}
}

// start starts the goroutine and returns the function that stops it.
func (writer *logWriter) start() context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	go writer.run(ctx)
	return cancel
}

func (writer *logWriter) run(ctx context.Context) {
	defer close(writer.done)
	writer.async.Run(ctx)
}

// finish stops the goroutine and waits at most logFlushTimeout for pending
// lines to be written.
func (writer *logWriter) finish(cancel context.CancelFunc) {
	cancel()
	select {
	case <-writer.done:
	case <-time.After(logFlushTimeout):
	}
}

// NewEntry returns the command that runs a router on an entry VM of the
// platform. It logs JSON to standard output by default.
func NewEntry() *cobra.Command {
	var flags Flags
	cmd := &cobra.Command{
		Use:   "entry [--settings FILE]",
		Short: "Run a router on an entry VM of the platform",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.Settings == "" {
				flags.Settings = platform.SettingsPath()
			}
			loaded, err := LoadSettings[config.Entry](flags.Settings)
			if err != nil {
				return err
			}
			writer := &logWriter{async: logging.NewAsync(cmd.OutOrStdout()), done: make(chan struct{})}
			logger, err := flags.Logger(writer.async)
			if err != nil {
				return err
			}
			defer writer.finish(writer.start())
			ctx, stop := UntilStopped(cmd.Context())
			defer stop()
			daemon := &entry.Daemon{
				Config:       loaded,
				Reload:       func() (config.Entry, error) { return LoadSettings[config.Entry](flags.Settings) },
				Logger:       logger.With("VM", loaded.VM),
				LinesDropped: writer.async.Dropped,
			}
			return daemon.Run(ctx)
		},
	}
	flags.Add(cmd)
	if err := cmd.Flags().Set("log-format", string(logging.JSON)); err != nil {
		panic(err)
	}
	return cmd
}
