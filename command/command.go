// Package command runs the command lines of the programs of this module.
//
// It promises the exit statuses: 0 for a command that was carried out, 2 for
// bad usage or a bad settings file, and 1 for any other failure.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// The exit statuses of a program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// errUsage marks errors of usage or of a settings file.
var errUsage = errors.New("usage")

// Usage marks err as an error of usage; nil stays nil.
func Usage(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errUsage)
}

// Args marks the errors of check as errors of usage.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return Usage(check(cmd, args)) }
}

// Root returns the command name of a program, which shows its help.
func Root(name, short string, children ...*cobra.Command) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return Usage(errors.Newf("unknown command %q", args[0]))
			}
			return cmd.Help()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return Usage(err) })
	root.AddCommand(children...)
	return root
}

// Run carries out a command line and returns the program's exit status.
func Run(ctx context.Context, root *cobra.Command, args []string, out, errOut io.Writer) int {
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(errOut, "%s: %v\n", root.Name(), err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}
