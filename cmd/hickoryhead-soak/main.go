// Command hickoryhead-soak runs routers as processes, injects faults from
// outside them, and checks the promises to callers and upstreams.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/soak"
)

func main() {
	os.Exit(command.Run(context.Background(), newRoot(), os.Args[1:], os.Stdout, os.Stderr))
}

func newRoot() *cobra.Command {
	var options soak.Options
	var seeds int
	root := command.Root("hickoryhead-soak", "A fault soak of router processes on loopback")
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
		}
		if failed > 0 {
			return errors.Newf("%d of %d seeds broke a promise", failed, seeds)
		}
		return nil
	}
	flags := root.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, one after the other")
	flags.DurationVar(&options.Length, "for", 30*time.Second, "time in which faults are injected")
	flags.IntVar(&options.Routers, "routers", 6, "router processes")
	flags.IntVar(&options.Upstreams, "upstreams", 8, "stand-ins of upstreams")
	flags.IntVar(&options.Callers, "callers", 24, "callers")
	flags.StringVar(&options.Program, "program", "target/hickoryhead", "the hickoryhead program")
	flags.StringVar(&options.Dir, "dir", filepath.Join(os.TempDir(), "hickoryhead-soak"), "logs and settings of the processes")
	return root
}
