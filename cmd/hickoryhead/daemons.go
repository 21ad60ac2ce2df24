package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/logging"
)

// daemonFlags holds the values of the flags that all daemon commands share.
type daemonFlags struct {
	settings string
	format   string
	level    string
}

func (flags *daemonFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&flags.settings, "settings", "", "settings file (JSON)")
	cmd.Flags().StringVar(&flags.format, "log-format", string(logging.Text), "log format: text or json")
	cmd.Flags().StringVar(&flags.level, "log-level", "info", "log level: debug, info, warn or error")
}

// logger returns a logger that writes to out with the format and level of the
// flags. An unknown format or level is a usage error.
func (flags *daemonFlags) logger(out io.Writer) (*slog.Logger, error) {
	logger, err := logging.New(out, logging.Format(flags.format), flags.level)
	if err != nil {
		return nil, command.Usage(err)
	}
	return logger, nil
}

// loadSettings reads and validates the settings file of a daemon. All errors
// are usage errors.
func loadSettings[T config.Router | config.Sidecar | config.Entry](name string) (T, error) {
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

// untilStopped returns a context that is canceled on SIGTERM or SIGINT.
func untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// printAddresses returns a callback that prints the addresses on which the
// daemon listens. Other programs parse this line.
func printAddresses(out io.Writer) func(daemon.Addresses) {
	return func(addresses daemon.Addresses) {
		fmt.Fprintf(out, "listening callers=%s operators=%s hop=%s peers=%s\n",
			addresses.Callers, addresses.Operators, addresses.Hop, addresses.Peers)
	}
}

func newRouter() *cobra.Command {
	return newDaemon("router", "Run a router on an entry VM",
		func(ctx context.Context, loaded config.Router, logger *slog.Logger, started func(daemon.Addresses)) error {
			router := &daemon.Router{Config: loaded, Logger: logger, OnStart: started}
			return router.Run(ctx)
		})
}

func newSidecar() *cobra.Command {
	return newDaemon("sidecar", "Run the sidecar of one upstream",
		func(ctx context.Context, loaded config.Sidecar, logger *slog.Logger, started func(daemon.Addresses)) error {
			sidecar := &daemon.Sidecar{Config: loaded, Logger: logger, OnStart: started}
			return sidecar.Run(ctx)
		})
}

// newDaemon returns the command that runs a daemon until SIGTERM or SIGINT.
func newDaemon[T config.Router | config.Sidecar | config.Entry](role, short string, run func(ctx context.Context, loaded T, logger *slog.Logger, started func(daemon.Addresses)) error) *cobra.Command {
	var flags daemonFlags
	cmd := &cobra.Command{
		Use:   role + " --settings FILE",
		Short: short,
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadSettings[T](flags.settings)
			if err != nil {
				return err
			}
			logger, err := flags.logger(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			ctx, stop := untilStopped(cmd.Context())
			defer stop()
			return run(ctx, loaded, logger, printAddresses(cmd.OutOrStdout()))
		},
	}
	flags.add(cmd)
	return cmd
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:       "check router|sidecar|entry FILE",
		Short:     "Check a daemon's settings file without starting anything",
		ValidArgs: []string{"router", "sidecar", "entry"},
		Args:      command.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFile(args[0], args[1]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of a %s\n", args[1], args[0])
			return nil
		},
	}
}

// checkFile validates the settings file name of a daemon of the given role.
func checkFile(role, name string) error {
	var err error
	switch role {
	case "router":
		_, err = loadSettings[config.Router](name)
	case "sidecar":
		_, err = loadSettings[config.Sidecar](name)
	case "entry":
		_, err = loadSettings[config.Entry](name)
	default:
		return command.Usage(errors.Newf("role %q: want router, sidecar or entry", role))
	}
	return err
}
