package main

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/load"
)

func newLoad() *cobra.Command {
	runner := &load.Runner{}
	var workspaces []string
	var team, model, confirm, status string
	var surge load.Surge
	var surged string
	cmd := &cobra.Command{
		Use:   "load --routers IP:PORT,... --team TEAM --workspaces W,...",
		Short: "Drive callers against routers in front of stand-ins, and report what they got",
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
			if surged != "" {
				surge.Workspace = ident.WorkspaceID(surged)
				runner.Workload.Surge = &surge
			}
			return runLoad(cmd, runner)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&runner.Routers, "routers", nil, "callers' addresses of routers, IP:port")
	flags.StringSliceVar(&runner.Services, "services", nil, "addresses of stand-in services, which tell how often each key ran")
	flags.StringVar(&team, "team", "", "team whose routes are used")
	flags.StringSliceVar(&workspaces, "workspaces", nil, "workspaces that own the chats")
	flags.StringVar(&model, "model-route", "draft", "route that takes prompts")
	flags.StringVar(&confirm, "confirm-route", "confirm", "route of confirmations, which must not run twice")
	flags.StringVar(&status, "status-route", "order-status", "route of readings of the plain service")
	flags.Uint64Var(&runner.Workload.Seed, "seed", 1, "seed of the requests")
	flags.IntVar(&runner.Workload.Requests, "requests", load.DefaultRequests, "number of requests")
	flags.Float64Var(&runner.Workload.RequestsPerSecond, "rate", load.DefaultRequestsPerSecond, "mean requests a second")
	flags.IntVar(&runner.Workload.Chats, "chats", load.DefaultChats, "number of chats that return")
	flags.Float64Var(&runner.Workload.ConfirmShare, "confirm-share", 0, "share of confirmations, 0 to 1")
	flags.Float64Var(&runner.Workload.StatusShare, "status-share", 0, "share of readings, 0 to 1")
	flags.Float64Var(&runner.Workload.RepeatShare, "repeat-share", 0, "share of the confirmations that repeat an earlier key, 0 to 1")
	flags.Float64Var(&runner.Workload.WholeShare, "whole-share", 0, "share of the prompts answered as one JSON value, 0 to 1")
	flags.StringVar(&surged, "surge-workspace", "", "workspace that surges; empty means none")
	flags.Float64Var(&surge.Factor, "surge-factor", 5, "multiple of the surging workspace's requests")
	flags.DurationVar(&surge.From, "surge-from", 10*time.Second, "start of the surge")
	flags.DurationVar(&surge.Until, "surge-until", 20*time.Second, "end of the surge")
	flags.IntVar(&runner.Retries, "retries", 0, "repetitions of a request that was refused with a time to come back")
	flags.DurationVar(&runner.TimeLimit, "time-limit", load.DefaultTimeLimit, "end of the arrivals")
	return cmd
}

func runLoad(cmd *cobra.Command, runner *load.Runner) error {
	ctx, stop := untilStopped(cmd.Context())
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
		return errors.New("an answer broke a promise: see the report")
	}
	return nil
}
