package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/explain"
)

// maxLogLineBytes is the longest log line that is read; a longer one is an
// error.
const maxLogLineBytes = 1 << 20

// newExplain returns the command that explains requests from routers' logs.
func newExplain() *cobra.Command {
	var failures bool
	var from, until string
	cmd := &cobra.Command{
		Use:   "explain ID FILE... | explain --failures FILE...",
		Short: "Explain one request, or why requests failed, from routers' logs",
		Long:  "Reads the logs of any number of routers (- for standard input) and prints what happened to the request with attempt ID ID. With --failures it groups all failed requests by cause.",
		Args:  command.Args(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			files := args
			if !failures {
				files = args[1:]
			}
			if len(files) == 0 {
				return command.Usage(errors.New("no log given: want at least one file, or - for standard input"))
			}
			log, err := readLogs(files, cmd.InOrStdin())
			if err != nil {
				return err
			}
			if failures {
				return printFailures(cmd.OutOrStdout(), log, from, until)
			}
			if !log.WriteRequest(cmd.OutOrStdout(), args[0]) {
				if err := log.WriteUnplannedEnds(cmd.OutOrStdout(), time.Time{}, time.Time{}); err != nil {
					return err
				}
				return errors.Newf("request %s not found in %d log lines; under load, requests served at the first attempt may not be logged", args[0], log.Len())
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&failures, "failures", false, "group all failed requests by cause")
	cmd.Flags().StringVar(&from, "from", "", "with --failures: ignore requests before this time (RFC 3339)")
	cmd.Flags().StringVar(&until, "until", "", "with --failures: ignore requests after this time (RFC 3339)")
	return cmd
}

// readLogs reads the named log files; - stands for in.
func readLogs(names []string, in io.Reader) (*explain.Log, error) {
	log := new(explain.Log)
	for _, name := range names {
		if err := readLog(log, name, in); err != nil {
			return nil, errors.Wrapf(err, "log %s", name)
		}
	}
	return log, nil
}

func readLog(log *explain.Log, name string, in io.Reader) error {
	reader := in
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		reader = file
	}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		log.Add(scanner.Bytes())
	}
	return scanner.Err()
}

// printFailures prints the failed requests between from and until by cause. An
// empty bound is open.
func printFailures(out io.Writer, log *explain.Log, from, until string) error {
	var bounds [2]time.Time
	for i, text := range []string{from, until} {
		if text == "" {
			continue
		}
		bound, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return command.Usage(err)
		}
		bounds[i] = bound
	}
	for _, group := range log.Failures(bounds[0], bounds[1]) {
		if _, err := fmt.Fprintf(out, "%6d  %s  (%s)\n", group.Count, group.Cause, strings.Join(group.Examples, ", ")); err != nil {
			return err
		}
	}
	return log.WriteUnplannedEnds(out, bounds[0], bounds[1])
}
