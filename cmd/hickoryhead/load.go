package main

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/load"
)

func newLoad() *cobra.Command {
	runner := &load.Runner{}
	var workspaces []string
	var team, model, confirm, status string
	var surge load.Surge
	var surgeWorkspace string
	cmd := &cobra.Command{
		Use:   "load --routers IP:PORT,... --team TEAM --workspaces W,...",
		Short: "Send generated requests to routers in front of stand-ins and report the results",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(runner.Routers) == 0 || len(workspaces) == 0 || team == "" {
				return command.Usage(errors.New("--routers, --team and --workspaces are required"))
			}
			for _, workspace := range workspaces {
				runner.Workload.Workspaces = append(runner.Workload.Workspaces, load.Workspace{ID: ident.WorkspaceID(workspace), Share: 1})
			}
			runner.Team = ident.TeamID(team)
			runner.ModelRoute = ident.RouteName(model)
			runner.ConfirmRoute = ident.RouteName(confirm)
			runner.StatusRoute = ident.RouteName(status)
			if surgeWorkspace != "" {
				surge.Workspace = ident.WorkspaceID(surgeWorkspace)
				runner.Workload.Surge = &surge
			}
			return runLoad(cmd, runner)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&runner.Routers, "routers", nil, "caller addresses of the routers, IP:port")
	flags.StringSliceVar(&runner.Services, "services", nil, "addresses of stand-in services, which count how often each key ran")
	flags.StringVar(&team, "team", "", "team whose routes are used")
	flags.StringSliceVar(&workspaces, "workspaces", nil, "workspaces that own the chats")
	flags.StringVar(&model, "model-route", "draft", "route for prompts")
	flags.StringVar(&confirm, "confirm-route", "confirm", "route for confirmations, which must not run twice")
	flags.StringVar(&status, "status-route", "order-status", "route for status requests to the plain service")
	flags.Uint64Var(&runner.Workload.Seed, "seed", 1, "seed of the requests")
	flags.IntVar(&runner.Workload.Requests, "requests", load.DefaultRequests, "number of requests")
	flags.Float64Var(&runner.Workload.RequestsPerSecond, "rate", load.DefaultRequestsPerSecond, "mean requests per second")
	flags.IntVar(&runner.Workload.Chats, "chats", load.DefaultChats, "number of recurring chats")
	flags.Float64Var(&runner.Workload.ConfirmShare, "confirm-share", 0, "share of requests that are confirmations, 0 to 1")
	flags.Float64Var(&runner.Workload.StatusShare, "status-share", 0, "share of requests that are status requests, 0 to 1")
	flags.Float64Var(&runner.Workload.RepeatShare, "repeat-share", 0, "share of confirmations that repeat an earlier key, 0 to 1")
	flags.Float64Var(&runner.Workload.WholeShare, "whole-share", 0, "share of prompts answered as one JSON value instead of a stream, 0 to 1")
	flags.StringVar(&surgeWorkspace, "surge-workspace", "", "workspace whose request rate surges; empty means none")
	flags.Float64Var(&surge.Factor, "surge-factor", 5, "factor by which the surge multiplies the workspace's requests")
	flags.DurationVar(&surge.From, "surge-from", 10*time.Second, "start of the surge, since the start of the run")
	flags.DurationVar(&surge.Until, "surge-until", 20*time.Second, "end of the surge, since the start of the run")
	flags.IntVar(&runner.Retries, "retries", 0, "maximum retries of a request whose answer was truncated or that was refused with a retry-after time")
	flags.DurationVar(&runner.TimeLimit, "time-limit", load.DefaultTimeLimit, "time after which no new requests are generated")
	return cmd
}

// runLoad runs the load, prints its report as JSON and returns an error if an
// answer violated a guarantee.
func runLoad(cmd *cobra.Command, runner *load.Runner) error {
	ctx, stop := daemoncommand.UntilStopped(cmd.Context())
	defer stop()
	report, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	encoded, err := report.JSON()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s\n", encoded)
	if !report.Sound() {
		return errors.New("an answer violated a guarantee: see the report")
	}
	return nil
}
