package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
)

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
	var flags daemoncommand.Flags
	cmd := &cobra.Command{
		Use:   role + " --settings FILE",
		Short: short,
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := daemoncommand.LoadSettings[T](flags.Settings)
			if err != nil {
				return err
			}
			logger, err := flags.Logger(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			ctx, stop := daemoncommand.UntilStopped(cmd.Context())
			defer stop()
			return run(ctx, loaded, logger, printAddresses(cmd.OutOrStdout()))
		},
	}
	flags.Add(cmd)
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
		_, err = daemoncommand.LoadSettings[config.Router](name)
	case "sidecar":
		_, err = daemoncommand.LoadSettings[config.Sidecar](name)
	case "entry":
		_, err = daemoncommand.LoadSettings[config.Entry](name)
	default:
		return command.Usage(errors.Newf("role %q: want router, sidecar or entry", role))
	}
	return err
}
