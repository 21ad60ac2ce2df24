package main

import (
	"context"
	"io"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
)

// run executes the command line args and returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	root := command.Root("hickoryhead", "A router fleet in front of model engines and plain services",
		newRouter(), newSidecar(), daemoncommand.NewEntry(), newExplain(), newWhere(), newCheck(), newSettings(), newStatus(), newDrain(),
		newDemo(), newLoad(), newReference(), newVersion())
	return command.Run(context.Background(), root, args, out, errOut)
}
