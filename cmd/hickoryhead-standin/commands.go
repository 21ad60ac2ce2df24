package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

// defaultListen lets the kernel choose a free port.
const defaultListen = "127.0.0.1:0"

func newPlatform() *cobra.Command {
	var listen string
	var switches standin.PlatformSwitches
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform: table, object store and VM list",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := new(standin.Platform)
			platform.Switch(switches)
			return serve(cmd.Context(), listen, platform, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "address to listen on, IP:port")
	flags.BoolVar(&switches.Outage, "outage", false, "refuse every request to the table and the object store")
	flags.BoolVar(&switches.ListOutage, "list-outage", false, "refuse every request for the VM list")
	flags.Int64Var(&switches.SlowMs, "slow-ms", 0, "delay of each request to the table and the object store, in milliseconds")
	flags.IntVar(&switches.LoseAnswers, "lose-answers", 0, "number of commits after the start whose answer is lost")
	flags.Float64Var(&switches.LoseShare, "lose-share", 0, "share of all commits whose answer is lost, from 0 to 1")
	flags.Float64Var(&switches.WritesPerSecond, "writes-per-second", 0, "maximum rate of writes per second; 0 means no limit")
	flags.Float64Var(&switches.ReadsPerSecond, "reads-per-second", 0, "maximum rate of reads per second; 0 means no limit")
	flags.Int64Var(&switches.LagMs, "lag-ms", 0, "time until a change of the VM list becomes visible, in milliseconds")
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
	flags.StringVar(&model, "model", "", "loaded model; empty accepts requests for every model")
	flags.IntVar(&engine.Limit, "limit", standin.DefaultLimit, "maximum batch size")
	flags.IntVar(&engine.MaxWaiting, "max-waiting", standin.DefaultMaxWaiting, "maximum number of requests waiting for the batch")
	flags.StringSliceVar(&priorities, "priorities", nil, "priorities of the waiting queue, most urgent first")
	flags.Float64Var(&engine.TokensPerSecond, "tokens-per-second", 50, "generation speed of an answer that is alone in the batch, in tokens per second; 0 means no delay")
	flags.Float64Var(&engine.BatchShare, "batch-share", 0, "share by which each further request in the batch lengthens the time of a token")
	flags.Float64Var(&engine.PrefillPerSecond, "prefill-per-second", 10000, "prefill speed, in uncached prompt tokens per second; 0 means no delay")
	flags.IntVar(&cacheTokens, "cache-tokens", int(standin.DefaultCacheTokens), "size of the prefix cache in tokens")
	flags.DurationVar(&engine.LoadLag, "load-lag", 0, "age of the load report")
	flags.DurationVar(&engine.EventLag, "event-lag", 0, "time until a cache event becomes visible")
	flags.Uint64Var(&engine.EventSkip, "event-skip", 0, "drop each cache event whose number is a multiple of this; 0 drops none")
	flags.BoolVar(&engine.CheckFence, "check-fence", false, "refuse orders with a fencing number below the highest one received")
	flags.DurationVar(&engine.OrderTime, "order-time", 0, "time that an order takes")
	flags.StringVar(&engine.CrashMarker, "crash-marker", "", "exit on a prompt that contains this text; empty means never")
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
	flags.DurationVar(&service.Delay, "delay", 0, "time that a call takes")
	flags.IntVar(&switches.LoseAnswers, "lose-answers", 0, "number of calls after the start whose answer is lost")
	flags.StringVar(&service.CrashMarker, "crash-marker", "", "exit on a body that contains this text; empty means never")
	return cmd
}

// crash exits at once, without finishing the answers in flight.
func crash() {
	os.Exit(exitCrashed)
}
