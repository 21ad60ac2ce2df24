package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/forward"
)

// defaultInternalAddress is where an entry router on this VM serves its metrics.
const defaultInternalAddress = "127.0.0.1:9464"

// newWhere returns the command that asks an entry router where a request would go.
func newWhere() *cobra.Command {
	var router, host string
	var headers, tried []string
	cmd := &cobra.Command{
		Use:   "where [--router ADDRESS] --host HOST [--header 'NAME: VALUE']... [--tried UPSTREAM]... TARGET",
		Short: "Ask an entry router where a request would go now, and why, without sending it",
		Long:  "Asks the entry router whose metrics are served at ADDRESS (MetricsListen) where a request for TARGET (a path and query) with the given host and headers would go at the moment. The answer comes from the function that decides; upstreams that can't get the request are listed with the reason. The body is not known: a request that has crashed upstreams may go elsewhere. Refusals for lack of room are not predicted.",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			header := make(http.Header)
			for _, line := range headers {
				name, value, found := strings.Cut(line, ":")
				if !found {
					return command.Usage(errors.Newf("header %q: want NAME: VALUE", line))
				}
				header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			placement, err := askWhere(cmd.Context(), router, url.Values{"host": {host}, "target": {args[0]}, "tried": tried}, header)
			if err != nil {
				return err
			}
			return writePlacement(cmd.OutOrStdout(), placement)
		},
	}
	cmd.Flags().StringVar(&router, "router", defaultInternalAddress, "the router's address for metrics")
	cmd.Flags().StringVar(&host, "host", "", "the host of the request")
	cmd.Flags().StringArrayVar(&headers, "header", nil, "a header of the request, such as 'Hickoryhead-Prompt-Prefix: a:400,b:100'")
	cmd.Flags().StringArrayVar(&tried, "tried", nil, "an upstream to which the request was offered before")
	return cmd
}

// askWhere asks a router where the request that query and header describe would go.
func askWhere(ctx context.Context, router string, query url.Values, header http.Header) (forward.Placement, error) {
	var placement forward.Placement
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+"/where?"+query.Encode(), nil)
	if err != nil {
		return placement, command.Usage(err)
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return placement, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return placement, errors.Newf("the router answered %s", response.Status)
	}
	return placement, errors.Wrap(decodeBody(response, &placement), "decode the router's response")
}

// writePlacement writes a placement, and the upstreams that it was chosen among.
func writePlacement(out io.Writer, placement forward.Placement) error {
	if placement.Upstream == "" {
		fmt.Fprintf(out, "refused with %s\n", placement.Code)
	} else {
		fmt.Fprintf(out, "upstream %s, chosen as %s among %d of service %s (route %s), mean load %.1f\n",
			placement.Upstream, placement.Reason, len(placement.Candidates), placement.Service, placement.Route, placement.MeanLoad)
	}
	if placement.Version != "" {
		fmt.Fprintf(out, "only at software version %s\n", placement.Version)
	}
	if placement.Source != "" {
		fmt.Fprintf(out, "prompt fetched from %s\n", placement.Source)
	}
	if placement.ExpectedMs > 0 {
		fmt.Fprintf(out, "first event expected after %d ms\n", placement.ExpectedMs)
	}
	if placement.ExpectedOutput > 0 {
		fmt.Fprintf(out, "%d tokens expected\n", placement.ExpectedOutput)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(placement.Candidates)+len(placement.OutOfPool) > 0 {
		fmt.Fprintln(table, "UPSTREAM\tLOAD\tUNREAD\tEXPECTED MS\tNOTES")
	}
	for _, candidate := range placement.Candidates {
		var notes []string
		for _, note := range []struct {
			applies bool
			text    string
		}{
			{candidate.Upstream == placement.Upstream, "chosen"},
			{candidate.Cached, "has the prefix cached"},
			{!candidate.Healthy && len(candidate.Excluded) == 0, "not healthy"},
			{candidate.AtBound, "at the load bound"},
			{len(candidate.Excluded) > 0, "excluded: " + strings.Join(candidate.Excluded, ", ")},
		} {
			if note.applies {
				notes = append(notes, note.text)
			}
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", candidate.Upstream, candidate.Load, candidate.Unread, candidate.ExpectedMs, strings.Join(notes, ", "))
	}
	for _, upstream := range placement.OutOfPool {
		fmt.Fprintf(table, "%s\t-\t-\t-\texcluded: %s\n", upstream.Upstream, strings.Join(upstream.Excluded, ", "))
	}
	return table.Flush()
}
