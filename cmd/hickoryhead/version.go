package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  command.Args(cobra.NoArgs),
		Run: func(cmd *cobra.Command, _ []string) {
			version := "(devel)"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			fmt.Fprintln(cmd.OutOrStdout(), "hickoryhead", version)
		},
	}
}
