package main

import (
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
	"github.com/hickoryhead/hickoryhead/demo"
	"github.com/hickoryhead/hickoryhead/logging"
)

func newDemo() *cobra.Command {
	var options demo.Options
	var level string
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet on loopback in one process and send requests through it",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			flags := daemoncommand.Flags{Format: string(logging.Text), Level: level}
			logger, err := flags.Logger(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			ctx, stop := daemoncommand.UntilStopped(cmd.Context())
			defer stop()
			options.Out = cmd.OutOrStdout()
			options.Logger = logger
			return demo.Run(ctx, options)
		},
	}
	cmd.Flags().BoolVar(&options.Keep, "keep", false, "keep the fleet running and print example commands")
	cmd.Flags().IntVar(&options.Engines, "engines", 0, "number of engines; 0 means 4")
	cmd.Flags().IntVar(&options.Routers, "routers", 0, "number of routers; 0 means 2")
	cmd.Flags().IntVar(&options.Requests, "requests", 0, "number of requests; 0 means 1500")
	cmd.Flags().StringVar(&level, "log-level", "warn", "log level: debug, info, warn or error")
	return cmd
}
