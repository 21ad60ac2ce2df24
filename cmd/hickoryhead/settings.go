package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/settings"
)

// settingsFlags holds the values of the flags that all settings commands share.
type settingsFlags struct {
	server    string
	team      string
	tokenFile string
	author    string
	reason    string
	dryRun    bool
}

func newSettings() *cobra.Command {
	flags := &settingsFlags{}
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Show and change a team's settings",
		Args:  command.Args(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	persistent := cmd.PersistentFlags()
	persistent.StringVar(&flags.server, "server", defaultOperatorServer, "operators' address of a router, IP:port")
	persistent.StringVar(&flags.team, "team", "", "team whose settings are shown or changed")
	persistent.StringVar(&flags.tokenFile, "token-file", "", "file with the team's credential")
	persistent.StringVar(&flags.author, "author", loginName(), "author of the change, for the history")
	persistent.StringVar(&flags.reason, "reason", "", "reason for the change, for the history")
	persistent.BoolVar(&flags.dryRun, "dry-run", false, "validate a change and show its effect without making it")
	cmd.AddCommand(
		flags.newList(), flags.newGet(), flags.newSet(), flags.newDelete(),
		flags.newApply(), flags.newDiff(), flags.newHistory(), flags.newUndo(),
	)
	return cmd
}

// loginName returns the name of the current user, or an empty string if it is
// not known.
func loginName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// client returns a client for the team and the server of the flags.
func (flags *settingsFlags) client() (*operator.Client, error) {
	if !ident.Valid(flags.team) {
		return nil, command.Usage(errors.Newf("--team %q: want a valid team name", flags.team))
	}
	token, err := os.ReadFile(flags.tokenFile)
	if err != nil {
		return nil, command.Usage(errors.Wrap(err, "--token-file"))
	}
	return &operator.Client{
		Server: flags.server,
		Team:   ident.TeamID(flags.team),
		Token:  strings.TrimSpace(string(token)),
		Author: flags.author,
		Reason: flags.reason,
	}, nil
}

func (flags *settingsFlags) newList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [KIND]",
		Short: "Print the settings in force",
		Args:  command.Args(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			kind := settings.Kind(strings.Join(args, ""))
			list, err := client.List(cmd.Context(), kind)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "team %s, revision %d\n", list.Team, list.Revision)
			return printJSON(cmd.OutOrStdout(), list.Values)
		},
	}
}

func (flags *settingsFlags) newGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get KIND NAME",
		Short: "Print one setting",
		Args:  command.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			value, err := client.Get(cmd.Context(), settings.Kind(args[0]), args[1])
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), value)
		},
	}
}

func (flags *settingsFlags) newSet() *cobra.Command {
	return &cobra.Command{
		Use:   "set KIND NAME VALUE",
		Short: "Set one setting to a JSON value, or to the content of a file with @FILE",
		Args:  command.Args(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			value, err := readValue(args[2])
			if err != nil {
				return err
			}
			return flags.changeSetting(cmd, args[0], args[1], value)
		},
	}
}

func (flags *settingsFlags) newDelete() *cobra.Command {
	return &cobra.Command{
		Use:   "delete KIND NAME",
		Short: "Delete one setting",
		Args:  command.Args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return flags.changeSetting(cmd, args[0], args[1], nil)
		},
	}
}

// changeSetting sets one setting, or deletes it if value is nil.
func (flags *settingsFlags) changeSetting(cmd *cobra.Command, kind, name string, value json.RawMessage) error {
	address := settings.Address{Team: ident.TeamID(flags.team), Kind: settings.Kind(kind), Name: name}
	return flags.change(cmd, map[settings.Path]json.RawMessage{address.Path(): value}, false)
}

func (flags *settingsFlags) newApply() *cobra.Command {
	replace := false
	cmd := &cobra.Command{
		Use:   "apply FILE|FOLDER",
		Short: "Apply the settings in a file or folder as one change",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := readSettings(ident.TeamID(flags.team), args[0])
			if err != nil {
				return err
			}
			return flags.change(cmd, values, replace)
		},
	}
	cmd.Flags().BoolVar(&replace, "replace", false, "delete the team's settings that the file or folder does not contain")
	return cmd
}

func (flags *settingsFlags) newDiff() *cobra.Command {
	replace := false
	cmd := &cobra.Command{
		Use:   "diff FILE|FOLDER",
		Short: "Show what apply would change",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := readSettings(ident.TeamID(flags.team), args[0])
			if err != nil {
				return err
			}
			flags.dryRun = true
			return flags.change(cmd, values, replace)
		},
	}
	cmd.Flags().BoolVar(&replace, "replace", false, "delete the team's settings that the file or folder does not contain")
	return cmd
}

func (flags *settingsFlags) newHistory() *cobra.Command {
	limit, after := 20, int64(-1)
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show accepted changes, oldest first",
		Args:  command.Args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			entries, err := client.History(cmd.Context(), after, limit)
			if err != nil {
				return err
			}
			for _, entry := range entries {
				printEntry(cmd.OutOrStdout(), entry)
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&limit, "limit", limit, "maximum number of changes to show, up to 200")
	cmd.Flags().Int64Var(&after, "after", after, "show the changes after this revision; -1 shows the latest")
	return cmd
}

func (flags *settingsFlags) newUndo() *cobra.Command {
	return &cobra.Command{
		Use:   "undo REVISION",
		Short: "Undo an accepted change with a new change",
		Args:  command.Args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return command.Usage(errors.Newf("revision %q: want a whole number", args[0]))
			}
			return flags.undo(cmd, ident.Revision(number))
		},
	}
}

func (flags *settingsFlags) undo(cmd *cobra.Command, revision ident.Revision) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	if flags.dryRun {
		preview, err := client.PreviewUndo(cmd.Context(), revision)
		return showPreview(cmd.OutOrStdout(), preview, err)
	}
	list, err := client.ListAccepted(cmd.Context())
	if err != nil {
		return err
	}
	accepted, err := client.Undo(cmd.Context(), list.Revision, revision)
	return showAccepted(cmd, accepted, err)
}

// change commits values on top of the accepted revision; a nil value deletes a
// setting. With --dry-run it only shows the effect, and with replace it also
// deletes the settings that values does not contain.
func (flags *settingsFlags) change(cmd *cobra.Command, values map[settings.Path]json.RawMessage, replace bool) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	list, err := client.ListAccepted(cmd.Context())
	if err != nil {
		return err
	}
	if replace {
		addDeletions(values, list)
	}
	dropUnchanged(values, list)
	if len(values) == 0 {
		fmt.Fprintf(cmd.OutOrStdout(), "nothing to change at revision %d\n", list.Revision)
		return nil
	}
	if flags.dryRun {
		preview, err := client.PreviewApply(cmd.Context(), values)
		return showPreview(cmd.OutOrStdout(), preview, err)
	}
	accepted, err := client.Apply(cmd.Context(), list.Revision, values)
	return showAccepted(cmd, accepted, err)
}

// showAccepted prints the accepted change. If the change lost a race against
// another one it prints the current settings and returns err.
func showAccepted(cmd *cobra.Command, accepted operator.Accepted, err error) error {
	var raced *operator.ConflictError
	if errors.As(err, &raced) {
		fmt.Fprintf(cmd.ErrOrStderr(), "current settings at revision %d:\n", raced.Present.Revision)
		_ = printJSON(cmd.ErrOrStderr(), raced.Present.Values)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d of team %s\n", accepted.Revision, accepted.Team)
	return nil
}

func showPreview(out io.Writer, preview operator.Preview, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "on revision %d of team %s:\n", preview.Revision, preview.Team)
	printDifferences(out, preview.Differences)
	return nil
}

func printEntry(out io.Writer, entry settings.Entry) {
	fmt.Fprintf(out, "revision %d at %s by %q: %s\n", entry.Revision, entry.At.Format("2006-01-02 15:04:05Z"), entry.Author, entry.Reason)
	printDifferences(out, entry.Differences)
}

func printDifferences(out io.Writer, differences []settings.Difference) {
	for _, difference := range differences {
		if difference.Before != nil {
			fmt.Fprintf(out, "- %s %s\n", difference.Path, difference.Before)
		}
		if difference.After != nil {
			fmt.Fprintf(out, "+ %s %s\n", difference.Path, difference.After)
		}
	}
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// addDeletions adds a deletion to values for each listed setting that values
// does not contain.
func addDeletions(values map[settings.Path]json.RawMessage, list operator.Listing) {
	for _, path := range slices.Sorted(maps.Keys(list.Values)) {
		if _, given := values[path]; !given {
			values[path] = nil
		}
	}
}

// dropUnchanged removes the values that equal the listed ones, so that applying
// a large folder sends only what differs.
func dropUnchanged(values map[settings.Path]json.RawMessage, list operator.Listing) {
	for path, value := range values {
		if current := list.Values[path]; current != nil && sameJSON(value, current) {
			delete(values, path)
		}
	}
}
