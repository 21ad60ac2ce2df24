package daemoncommand

import (
	"context"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/logging"
)

// Flags holds the values of the flags that all daemon commands share.
type Flags struct {
	// Settings is the name of the settings file, Format and Level are those of log lines.
	Settings string
	Format   string
	Level    string
}

// Add adds the flags to a command.
func (flags *Flags) Add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&flags.Settings, "settings", "", "settings file (JSON)")
	cmd.Flags().StringVar(&flags.Format, "log-format", string(logging.Text), "log format: text or json")
	cmd.Flags().StringVar(&flags.Level, "log-level", "info", "log level: debug, info, warn or error")
}

// Logger returns a logger that writes to out with the format and level of the
// flags. An unknown format or level is a usage error.
func (flags *Flags) Logger(out io.Writer) (*slog.Logger, error) {
	logger, err := logging.New(out, logging.Format(flags.Format), flags.Level)
	if err != nil {
		return nil, command.Usage(err)
	}
	return logger, nil
}

// LoadSettings reads and validates the settings file of a daemon. All errors
// are usage errors.
func LoadSettings[T config.Router | config.Sidecar | config.Entry](name string) (T, error) {
	if name == "" {
		var none T
		return none, command.Usage(errors.New("--settings FILE is required"))
	}
	loaded, err := config.Load[T](name)
	if err != nil {
		return loaded, command.Usage(err)
	}
	return loaded, nil
}

// UntilStopped returns a context that is canceled on SIGTERM or SIGINT.
func UntilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
