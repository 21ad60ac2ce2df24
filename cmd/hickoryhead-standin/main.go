// Command hickoryhead-standin runs stand-ins for the systems around hickoryhead: a
// model engine, a plain service, the platform, and an upstream of the users'
// platform. It also writes configurations to the platform stand-in.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
