// Package command runs the command lines of this module's programs.
//
// It guarantees the exit status: 0 if the command succeeded, 2 for a usage
// error or an invalid settings file, and 1 for any other failure.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// Exit statuses of a program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// errUsage marks usage errors and errors in a settings file.
var errUsage = errors.New("usage")

// Usage marks err as a usage error, for which Run returns ExitUsage. It returns
// nil if err is nil.
func Usage(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errUsage)
}

// Args returns a check of positional arguments that marks the errors of check
// as usage errors.
func Args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return Usage(check(cmd, args)) }
}

// Root returns the root command of a program. Without a subcommand it prints its
// help; an unknown subcommand is a usage error.
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

// Run executes the command line args, writes an error to errOut, and returns the
// program's exit status.
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
