// Command hickoryhead-entry runs the entry router alone, as `hickoryhead entry` does, without
// the libraries of the other commands.
package main

import (
	"context"
	"os"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
)

func main() {
	root := command.Root("hickoryhead-entry", "An entry router of the fleet", daemoncommand.NewEntry())
	os.Exit(command.Run(context.Background(), root, os.Args[1:], os.Stdout, os.Stderr))
}
