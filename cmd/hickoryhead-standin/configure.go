package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/routing"
)

func newConfigure() *cobra.Command {
	var storeAt string
	cmd := &cobra.Command{
		Use:   "configure FILE",
		Short: "Check a configuration and write it to the platform stand-in, as operators do",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			routes, err := readConfig(args[0])
			if err != nil {
				return command.Usage(errors.Wrap(err, args[0]))
			}
			if err := configure(cmd.Context(), platform.NewStore(storeAt, nil), routes); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d is accepted\n", routes.Version)
			return nil
		},
	}
	cmd.Flags().StringVar(&storeAt, "platform", defaultPlatform, "address of the platform stand-in, IP:port")
	return cmd
}

// readConfig reads a JSON file with the fields of routing.Config and validates it.
func readConfig(name string) (routing.Config, error) {
	var routes routing.Config
	content, err := os.ReadFile(name)
	if err != nil {
		return routes, err
	}
	if err := config.Decode(content, &routes); err != nil {
		return routes, err
	}
	return routes, routes.Check()
}

// configure writes routes to the store. It fails if the store already holds this or
// a newer version, or if another writer changes the configuration meanwhile.
func configure(ctx context.Context, store *platform.Store, routes routing.Config) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := store.Read(ctx, platform.Range{Table: platform.OperatorTable, From: platform.ConfigKey, Limit: 1})
	if err != nil {
		return err
	}
	var expected platform.Expectation
	expected.Row = platform.RowName{Table: platform.OperatorTable, Key: platform.ConfigKey}
	for _, record := range stored.Records {
		if record.Key != platform.ConfigKey {
			continue
		}
		current, err := platform.DecodeConfig(record.Value)
		if err != nil {
			return errors.Wrap(err, "decode the current configuration")
		}
		if current.Version >= routes.Version {
			return errors.Newf("version %d is accepted already: the next one needs a higher Version", current.Version)
		}
		expected.Version = record.Version
	}
	value, err := platform.EncodeConfig(routes)
	if err != nil {
		return err
	}
	record := platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: value}
	_, err = store.Transact(ctx, platform.Batch{Expected: []platform.Expectation{expected}, Writes: []platform.Record{record}})
	return err
}
