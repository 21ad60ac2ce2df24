// Command hickoryhead-soak runs routers as separate processes, injects faults from
// outside them, and checks the guarantees to callers and upstreams. It prints one
// JSON report per seed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/soak"
)

func main() {
	// A soak that is ended by a signal ends its routers, too.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, newRoot(), os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func newRoot() *cobra.Command {
	var options soak.Options
	var seeds int
	root := command.Root("hickoryhead-soak", "Run router processes on loopback under injected faults and check their guarantees")
	root.Args = command.Args(cobra.NoArgs)
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		dir, failed := options.Dir, 0
		for range seeds {
			options.Dir = filepath.Join(dir, fmt.Sprint("seed-", options.Seed))
			report, err := soak.Run(cmd.Context(), options)
			if err != nil {
				return errors.Wrapf(err, "seed %d", options.Seed)
			}
			encoded, err := json.Marshal(report)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), string(encoded))
			if len(report.Violations) > 0 {
				failed++
			}
			options.Seed++
			if cmd.Context().Err() != nil {
				break
			}
		}
		if failed > 0 {
			return errors.Newf("%d of %d seeds broke a guarantee", failed, seeds)
		}
		return nil
	}
	flags := root.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of consecutive seeds, run one after the other")
	flags.DurationVar(&options.Length, "for", 30*time.Second, "time for which faults are injected")
	flags.IntVar(&options.Routers, "routers", 6, "number of router processes")
	flags.IntVar(&options.Upstreams, "upstreams", 8, "number of upstream stand-ins")
	flags.IntVar(&options.Callers, "callers", 24, "number of concurrent callers")
	flags.StringVar(&options.Previous, "previous", "", "path of an earlier hickoryhead executable that routers are upgraded from")
	flags.StringVar(&options.Program, "program", "target/hickoryhead", "path of the hickoryhead executable")
	flags.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "hickoryhead-soak"), "directory for the logs and settings of the processes")
	return root
}
