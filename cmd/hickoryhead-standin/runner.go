package main

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// defaultPlatform is where the stand-in of the platform listens in the pages.
	defaultPlatform = "127.0.0.1:9000"
	// storeTimeout bounds one use of the store.
	storeTimeout = 5 * time.Second
	// leaveTime is how long a runner that leaves still takes what routers send
	// it that don't know yet.
	leaveTime = 2 * time.Second
)

// runnerProcess is a stand-in of a runner with the store that holds its row.
type runnerProcess struct {
	runner standin.Runner
	store  *platform.Store
	beaten chan struct{}
}

func newRunner() *cobra.Command {
	var listen, id, service, zone, storeAt string
	cmd := &cobra.Command{
		Use:   "runner",
		Short: "Run a stand-in for an upstream of the users' platform",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			process := &runnerProcess{store: platform.NewStore(storeAt, nil), beaten: make(chan struct{})}
			process.runner.ID = ident.UpstreamID(id)
			process.runner.Service = ident.ServiceName(service)
			process.runner.Zone = ident.Zone(zone)
			process.runner.Write = process.write
			return process.serve(cmd.Context(), listen, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", defaultListen, "address to listen on, IP:port")
	flags.StringVar(&id, "id", "i-1", "ID of the runner")
	flags.StringVar(&service, "service", "pool", "service of the runner")
	flags.StringVar(&zone, "zone", "a", "availability zone of the runner")
	flags.StringVar(&storeAt, "platform", defaultPlatform, "address of the platform's stand-in, IP:port")
	return cmd
}

// serve serves until ctx is done. The runner then says that it is leaving,
// serves on for a while, and takes its row away.
func (process *runnerProcess) serve(ctx context.Context, listen string, out io.Writer) error {
	listener, err := listenAt(listen)
	if err != nil {
		return err
	}
	process.runner.Address = listener.Addr().String()
	beating, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go process.run(beating)
	err = serveOn(process.leave(ctx), listener, &process.runner, out)
	stop()
	<-process.beaten
	return errors.CombineErrors(err, process.remove())
}

// run writes the heartbeats until ctx ends.
func (process *runnerProcess) run(ctx context.Context) {
	defer close(process.beaten)
	process.runner.Run(ctx)
}

// leave returns a context that ends leaveTime after ctx, at whose end the
// runner says that it is leaving.
func (process *runnerProcess) leave(ctx context.Context) context.Context {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		process.runner.Leave()
		time.AfterFunc(leaveTime, stop)
	})
	return serving
}

func (process *runnerProcess) write(record platform.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := process.store.Put(ctx, record)
	return err
}

func (process *runnerProcess) remove() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := process.store.Transact(ctx, platform.Batch{Removes: []platform.RowName{process.runner.Row()}})
	return errors.Wrap(err, "row not removed")
}
