package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/standin"
)

// settingsCommand runs settings commands against an operators' interface over a
// stand-in of the platform.
type settingsCommand struct {
	t      *testing.T
	folder string
	server string
}

func newSettingsCommand(t *testing.T) *settingsCommand {
	t.Helper()
	table := httptest.NewServer(&standin.Platform{})
	t.Cleanup(table.Close)
	store := &settingstable.Store{Client: platform.New(strings.TrimPrefix(table.URL, "http://"), nil)}
	row := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential("secret")}}
	if err := store.PutTeam(context.Background(), "beaudoin", row); err != nil {
		t.Fatal(err)
	}
	replicator := &peer.Replicator{}
	handler, err := operator.New(&operator.Operator{
		View: replicator.View, Accepted: replicator.AdoptCommitted,
		Accept: store.Accept, Find: store.Find, Load: store.Load,
		History: store.History, Entry: store.Entry, Team: store.Team,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	commandLine := &settingsCommand{t: t, folder: t.TempDir(), server: strings.TrimPrefix(server.URL, "http://")}
	commandLine.write("token", "secret\n")
	return commandLine
}

func (commandLine *settingsCommand) write(name, content string) string {
	commandLine.t.Helper()
	path := filepath.Join(commandLine.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		commandLine.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		commandLine.t.Fatal(err)
	}
	return path
}

func (commandLine *settingsCommand) run(args ...string) (int, string) {
	var out bytes.Buffer
	full := append([]string{"settings"}, args...)
	full = append(full, "--server", commandLine.server, "--team", "beaudoin", "--author", "shelf desk", "--token-file", filepath.Join(commandLine.folder, "token"))
	status := run(full, &out, &out)
	return status, out.String()
}

func (commandLine *settingsCommand) want(status int, contains string, args ...string) {
	commandLine.t.Helper()
	got, out := commandLine.run(args...)
	if got != status {
		commandLine.t.Errorf("got status %d from %v with %s, want %d", got, args, out, status)
	}
	if !strings.Contains(out, contains) {
		commandLine.t.Errorf("got %q from %v, want it to contain %q", out, args, contains)
	}
}

func TestSettingsCommands(t *testing.T) {
	commandLine := newSettingsCommand(t)
	file := commandLine.write("all.json", `{"Priorities":{"shelf":{"Mark":1}},"Routes":{"draft":{"Model":"m","Idempotent":true,"Priority":"shelf"}}}`)
	commandLine.want(command.ExitDone, "+ /Teams/beaudoin/Priorities/shelf", "diff", file)
	commandLine.want(command.ExitDone, "on revision 0", "apply", file, "--dry-run")
	commandLine.want(command.ExitDone, "accepted as revision 1", "apply", file, "--reason", "opening")
	commandLine.want(command.ExitDone, "nothing to change at revision 1", "apply", file)
	commandLine.want(command.ExitDone, `"Priority": "shelf"`, "get", "Routes", "draft")
	commandLine.want(command.ExitDone, "accepted as revision 2", "set", "Workspaces", "laval", `{"Weight":2}`)
	commandLine.want(command.ExitDone, `"/Teams/beaudoin/Workspaces/laval"`, "list", "Workspaces")
	commandLine.want(command.ExitDone, "- /Teams/beaudoin/Workspaces/laval", "undo", "2", "--dry-run")
	commandLine.want(command.ExitDone, "accepted as revision 3", "undo", "2")
	commandLine.want(command.ExitDone, `by "shelf desk": opening`, "history")
	commandLine.want(command.ExitFailed, "HH4001", "delete", "Priorities", "shelf")
	commandLine.want(command.ExitFailed, "HH4005", "get", "Routes", "absent")
	commandLine.want(command.ExitFailed, `unknown field "model"`, "set", "Routes", "draft", `{"model":"m"}`)
}

func TestSettingsOfAFolder(t *testing.T) {
	commandLine := newSettingsCommand(t)
	commandLine.write("team/Priorities/shelf.json", `{"Mark":1}`)
	commandLine.write("team/Workspaces/laval.json", `{"Weight":1}`)
	folder := filepath.Join(commandLine.folder, "team")
	commandLine.want(command.ExitDone, "accepted as revision 1", "apply", folder)
	if err := os.Remove(filepath.Join(folder, "Workspaces", "laval.json")); err != nil {
		t.Fatal(err)
	}
	commandLine.want(command.ExitDone, "nothing to change", "apply", folder)
	commandLine.want(command.ExitDone, "- /Teams/beaudoin/Workspaces/laval", "diff", folder, "--replace")
	commandLine.want(command.ExitDone, "accepted as revision 2", "apply", folder, "--replace")
}

func TestSettingsUsage(t *testing.T) {
	commandLine := newSettingsCommand(t)
	tests := []struct {
		contains string
		args     []string
	}{
		{"not one JSON value", []string{"set", "Routes", "draft", "{"}},
		{"no such file", []string{"apply", filepath.Join(commandLine.folder, "absent")}},
		{"want one of Routes", []string{"apply", commandLine.write("odd.json", `{"Widgets":{"a":{}}}`)}},
		{"want a whole number", []string{"undo", "last"}},
		{"accepts 2 arg(s)", []string{"get", "Routes"}},
	}
	for _, test := range tests {
		commandLine.want(command.ExitUsage, test.contains, test.args...)
	}
}
