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
	// defaultPlatform is the address of the platform stand-in in the
	// documentation.
	defaultPlatform = "127.0.0.1:9000"
	// storeTimeout bounds one request to the store.
	storeTimeout = 5 * time.Second
	// leaveTime is how long a leaving runner still accepts requests, from
	// routers that have not seen its updated row yet.
	leaveTime = 2 * time.Second
)

// runnerProcess is a runner stand-in and the client of the store that holds its row.
type runnerProcess struct {
	runner         standin.Runner
	store          *platform.Store
	heartbeatsDone chan struct{}
}

func newRunner() *cobra.Command {
	var listen, id, service, zone, storeAt string
	cmd := &cobra.Command{
		Use:   "runner",
		Short: "Run a stand-in for an upstream of the users' platform",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			process := &runnerProcess{store: platform.NewStore(storeAt, nil), heartbeatsDone: make(chan struct{})}
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
	flags.StringVar(&storeAt, "platform", defaultPlatform, "address of the platform stand-in, IP:port")
	return cmd
}

// serve serves until ctx is done. The runner then marks its row as leaving, serves
// for leaveTime, and removes its row.
func (process *runnerProcess) serve(ctx context.Context, listen string, out io.Writer) error {
	listener, err := listenAt(listen)
	if err != nil {
		return err
	}
	process.runner.Address = listener.Addr().String()
	heartbeatCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go process.run(heartbeatCtx)
	err = serveOn(process.leave(ctx), listener, &process.runner, out)
	stop()
	<-process.heartbeatsDone
	return errors.CombineErrors(err, process.remove())
}

// run writes the heartbeats until ctx is done.
func (process *runnerProcess) run(ctx context.Context) {
	defer close(process.heartbeatsDone)
	process.runner.Run(ctx)
}

// leave returns a context that ends leaveTime after ctx. When ctx ends, it marks the
// row of the runner as leaving.
func (process *runnerProcess) leave(ctx context.Context) context.Context {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		process.runner.Leave()
		time.AfterFunc(leaveTime, stop)
	})
	return servingCtx
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
	return errors.Wrap(err, "remove the row of the runner")
}
