package main

import (
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/entry"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/platform"
)

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
			logger, err := flags.logger(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			ctx, stop := untilStopped(cmd.Context())
			defer stop()
			daemon := &entry.Daemon{
				Config: loaded,
				Reload: func() (config.Entry, error) { return loadSettings[config.Entry](flags.settings) },
				Logger: logger,
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
