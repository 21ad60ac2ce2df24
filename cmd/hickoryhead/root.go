package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// The exit statuses of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks errors of usage or of a settings file.
var errUsage = errors.New("usage")

func run(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(errOut, "hickoryhead:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "hickoryhead",
		Short:         "A router fleet in front of model engines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errors.Mark(errors.Newf("unknown command %q", args[0]), errUsage)
			}
			return cmd.Help()
		},
		Args: cobra.ArbitraryArgs,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.Mark(err, errUsage)
	})
	root.AddCommand(newRouter(), newSidecar(), newCheck(), newStatus(), newDrain(), newDemo(), newLoad(), newSettings(), newReference(), newVersion())
	return root
}
