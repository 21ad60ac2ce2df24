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
	// exitCrashed is the status of an engine or service that crashed on a
	// request with the crash marker.
	exitCrashed = 3
)

// errUsage marks errors of usage.
var errUsage = errors.New("usage")

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(errOut, "hickoryhead-standin:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "hickoryhead-standin",
		Short:         "Stand-ins for the systems around hickoryhead",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return errors.Mark(errors.Newf("unknown command %q", args[0]), errUsage)
			}
			return cmd.Help()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.Mark(err, errUsage)
	})
	root.AddCommand(newEngine(), newService(), newPlatform())
	return root
}

// noArgs refuses arguments as an error of usage.
func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return errors.Mark(err, errUsage)
	}
	return nil
}
