package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemon"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const (
	operatorTimeout       = 10 * time.Second
	defaultOperatorServer = "127.0.0.1:8081"
)

// sendRequest sends a request without a body to the operators' address of a
// router and decodes the JSON response into value. An empty token sends no
// credential.
func sendRequest(ctx context.Context, method, server, path, token string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, nil)
	if err != nil {
		return command.Usage(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return responseError(response)
	}
	return errors.Wrap(decodeBody(response, value), "decode the router's response")
}

// maxResponseBytes limits a response of a router.
const maxResponseBytes = 64 << 20

// decodeBody decodes the JSON body of a response, unless it is longer than maxResponseBytes.
func decodeBody(response *http.Response, value any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxResponseBytes)).Decode(value)
}

// responseError returns the problem that a response describes, or an error with
// its status if the body holds none.
func responseError(response *http.Response) error {
	var problem result.Problem
	if err := decodeBody(response, &problem); err != nil || problem.Number == result.OK {
		return errors.Newf("router responded with status %d", response.StatusCode)
	}
	return problem.Err(time.Now())
}

func newStatus() *cobra.Command {
	var server string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of a router and of its upstreams",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status daemon.RouterStatus
			if err := sendRequest(cmd.Context(), http.MethodGet, server, "/v1/status", "", &status); err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), &status)
		},
	}
	cmd.Flags().StringVar(&server, "server", defaultOperatorServer, "operators' address of a router, IP:port")
	return cmd
}

func printStatus(out io.Writer, status *daemon.RouterStatus) error {
	fmt.Fprintf(out, "router %s: ready %t, %d requests in flight, %d control bytes\n", status.VM, status.Ready, status.Active, status.ControlBytes)
	for team, revision := range status.Revisions {
		fmt.Fprintf(out, "team %s: revision %d\n", team, revision)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "UPSTREAM\tZONE\tADDRESS\tREACHED\tLEAVING\tLOAD\tMEAN\tBOUND")
	for _, upstream := range status.Upstreams {
		state := upstream.Status.State
		leaving := upstream.Leaving || state.Leaving
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%t\t%d\t%.2f\t%d\n", upstream.Upstream, upstream.Zone, upstream.Address, upstream.Reached, leaving, state.Load, state.Mean, state.Bound)
	}
	return table.Flush()
}

func newDrain() *cobra.Command {
	var server, team, tokenFile string
	cmd := &cobra.Command{
		Use:   "drain UPSTREAM --team TEAM --token-file FILE",
		Short: "Stop sending requests to an upstream and let it finish its work",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			token, err := os.ReadFile(tokenFile)
			if err != nil {
				return command.Usage(errors.Wrap(err, "--token-file"))
			}
			var status sidecar.Status
			path := "/v1/drain/" + url.PathEscape(args[0]) + "?" + url.Values{"Team": {team}}.Encode()
			if err := sendRequest(cmd.Context(), http.MethodPost, server, path, strings.TrimSpace(string(token)), &status); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is leaving: %d requests in flight\n", args[0], status.Running)
			return nil
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "team with a route to the upstream")
	cmd.Flags().StringVar(&tokenFile, "token-file", "", "file with the team's credential")
	cmd.Flags().StringVar(&server, "server", defaultOperatorServer, "operators' address of a router, IP:port")
	return cmd
}
