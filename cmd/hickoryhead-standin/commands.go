package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const defaultListen = "127.0.0.1:0"

func newPlatform() *cobra.Command {
	var listen string
	var switches standin.PlatformSwitches
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform: table, object store and list of VMs",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := new(standin.Platform)
			platform.Switch(switches)
			return serve(cmd.Context(), listen, platform, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "address to listen on, IP:port")
	flags.BoolVar(&switches.Outage, "outage", false, "refuse every use of the table and the object store")
	flags.BoolVar(&switches.ListOutage, "list-outage", false, "refuse every reading of the list of VMs")
	flags.Int64Var(&switches.SlowMs, "slow-ms", 0, "delay of each use of the table and the object store, in milliseconds")
	flags.IntVar(&switches.LoseAnswers, "lose-answers", 0, "number of first commits whose answer is lost")
	flags.Float64Var(&switches.LoseShare, "lose-share", 0, "share of all commits whose answer is lost, 0 to 1")
	flags.Float64Var(&switches.WritesPerSecond, "writes-per-second", 0, "bound of the writes; 0 means none")
	flags.Float64Var(&switches.ReadsPerSecond, "reads-per-second", 0, "bound of the reads; 0 means none")
	flags.Int64Var(&switches.LagMs, "lag-ms", 0, "time until a change of the list of VMs shows, in milliseconds")
	return cmd
}

func newEngine() *cobra.Command {
	var listen, model string
	var priorities []string
	var cacheTokens int
	engine := &standin.Engine{OnCrash: crash}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in for a model engine",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			engine.Model = ident.ModelName(model)
			engine.CacheTokens = ident.Tokens(cacheTokens)
			for _, priority := range priorities {
				engine.Priorities = append(engine.Priorities, ident.Priority(priority))
			}
			return serve(cmd.Context(), listen, engine, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "address to listen on, IP:port")
	flags.StringVar(&model, "model", "", "model that is loaded; empty answers every model")
	flags.IntVar(&engine.Limit, "limit", standin.DefaultLimit, "most requests batched")
	flags.IntVar(&engine.MaxWaiting, "max-waiting", standin.DefaultMaxWaiting, "most requests that wait for the batch")
	flags.StringSliceVar(&priorities, "priorities", nil, "priorities of the waiting queue, the first one first")
	flags.Float64Var(&engine.TokensPerSecond, "tokens-per-second", 50, "tokens a second of one answer; 0 means without delay")
	flags.Float64Var(&engine.BatchShare, "batch-share", 0, "share by which each further request in the batch lengthens a token")
	flags.Float64Var(&engine.PrefillPerSecond, "prefill-per-second", 10000, "prompt tokens a second that are not cached; 0 means without delay")
	flags.IntVar(&cacheTokens, "cache-tokens", int(standin.DefaultCacheTokens), "bound of the prefix cache in tokens")
	flags.DurationVar(&engine.LoadLag, "load-lag", 0, "age of the load report")
	flags.DurationVar(&engine.EventLag, "event-lag", 0, "time until a cache event shows")
	flags.Uint64Var(&engine.EventSkip, "event-skip", 0, "leave out each cache event whose number is a multiple of this; 0 leaves out none")
	flags.BoolVar(&engine.CheckFence, "check-fence", false, "refuse orders with an old fencing number")
	flags.DurationVar(&engine.OrderTime, "order-time", 0, "how long an order takes")
	flags.StringVar(&engine.CrashMarker, "crash-marker", "", "exit on a prompt that contains this; empty means never")
	return cmd
}

func newService() *cobra.Command {
	var listen string
	var switches standin.ServiceSwitches
	service := &standin.Service{OnCrash: crash}
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain service",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			service.Switch(switches)
			return serve(cmd.Context(), listen, service, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "address to listen on, IP:port")
	flags.StringSliceVar(&service.Idempotent, "idempotent", nil, "operations whose runs are not counted")
	flags.DurationVar(&service.Delay, "delay", 0, "how long a call takes")
	flags.IntVar(&switches.LoseAnswers, "lose-answers", 0, "number of first calls whose answer is lost")
	flags.StringVar(&service.CrashMarker, "crash-marker", "", "exit on a body that contains this; empty means never")
	return cmd
}

// crash ends the process as a crash would: at once, with answers in flight.
func crash() {
	os.Exit(exitCrashed)
}
