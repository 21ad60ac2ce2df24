package main

import (
	"context"
	"io"

	"github.com/hickoryhead/hickoryhead/command"
)

// exitCrashed is the exit status of an engine or service that crashed on a request
// with the crash marker.
const exitCrashed = 3

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := command.Root("hickoryhead-standin", "Run stand-ins for the systems around hickoryhead",
		newEngine(), newService(), newPlatform(), newRunner(), newConfigure())
	return command.Run(ctx, root, args, out, errOut)
}
