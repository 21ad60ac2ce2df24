package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

func newReference() *cobra.Command {
	return &cobra.Command{
		Use:       "reference results|settings",
		Short:     "Print a reference page generated from the code",
		ValidArgs: []string{"results", "settings"},
		Args:      command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch args[0] {
			case "results":
				fmt.Fprint(cmd.OutOrStdout(), result.Reference())
				return nil
			case "settings":
				fmt.Fprint(cmd.OutOrStdout(), settings.Reference())
				return nil
			}
			return command.Usage(errors.Newf("no reference page %q: want results or settings", args[0]))
		},
	}
}
