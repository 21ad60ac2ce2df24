package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
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
	store := &platform.Settings{Client: platform.New(strings.TrimPrefix(table.URL, "http://"), nil)}
	row := platform.Team{CredentialSHA256: []string{platform.HashCredential("secret")}}
	if err := store.PutTeam(context.Background(), "beaudoin", row); err != nil {
		t.Fatal(err)
	}
	replicator := &peer.Replicator{}
	handler, err := operator.New(&operator.Operator{
		View: replicator.View, Accepted: replicator.Accepted,
		Accept: store.Accept, Find: store.Find, Load: store.Load,
		History: store.History, Entry: store.Entry, Team: store.Team,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	command := &settingsCommand{t: t, folder: t.TempDir(), server: strings.TrimPrefix(server.URL, "http://")}
	command.write("token", "secret\n")
	return command
}

func (command *settingsCommand) write(name, content string) string {
	command.t.Helper()
	path := filepath.Join(command.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		command.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		command.t.Fatal(err)
	}
	return path
}

func (command *settingsCommand) run(args ...string) (int, string) {
	var out bytes.Buffer
	full := append([]string{"settings"}, args...)
	full = append(full, "--server", command.server, "--team", "beaudoin", "--author", "shelf desk", "--token-file", filepath.Join(command.folder, "token"))
	status := run(full, &out, &out)
	return status, out.String()
}

func (command *settingsCommand) want(status int, contains string, args ...string) {
	command.t.Helper()
	got, out := command.run(args...)
	if got != status {
		command.t.Errorf("got status %d from %v with %s, want %d", got, args, out, status)
	}
	if !strings.Contains(out, contains) {
		command.t.Errorf("got %q from %v, want it to contain %q", out, args, contains)
	}
}

func TestSettingsCommands(t *testing.T) {
	command := newSettingsCommand(t)
	file := command.write("all.json", `{"Priorities":{"shelf":{"Mark":1}},"Routes":{"draft":{"Model":"m","Idempotent":true,"Priority":"shelf"}}}`)
	command.want(exitDone, "+ /Teams/beaudoin/Priorities/shelf", "diff", file)
	command.want(exitDone, "on revision 0", "apply", file, "--dry-run")
	command.want(exitDone, "accepted as revision 1", "apply", file, "--reason", "opening")
	command.want(exitDone, "nothing to change at revision 1", "apply", file)
	command.want(exitDone, `"Priority": "shelf"`, "get", "Routes", "draft")
	command.want(exitDone, "accepted as revision 2", "set", "Workspaces", "laval", `{"Weight":2}`)
	command.want(exitDone, `"/Teams/beaudoin/Workspaces/laval"`, "list", "Workspaces")
	command.want(exitDone, "- /Teams/beaudoin/Workspaces/laval", "undo", "2", "--dry-run")
	command.want(exitDone, "accepted as revision 3", "undo", "2")
	command.want(exitDone, `by "shelf desk": opening`, "history")
	command.want(exitFailed, "HH4001", "delete", "Priorities", "shelf")
	command.want(exitFailed, "HH4005", "get", "Routes", "absent")
	command.want(exitFailed, `unknown field "model"`, "set", "Routes", "draft", `{"model":"m"}`)
}

func TestSettingsOfAFolder(t *testing.T) {
	command := newSettingsCommand(t)
	command.write("team/Priorities/shelf.json", `{"Mark":1}`)
	command.write("team/Workspaces/laval.json", `{"Weight":1}`)
	folder := filepath.Join(command.folder, "team")
	command.want(exitDone, "accepted as revision 1", "apply", folder)
	if err := os.Remove(filepath.Join(folder, "Workspaces", "laval.json")); err != nil {
		t.Fatal(err)
	}
	command.want(exitDone, "nothing to change", "apply", folder)
	command.want(exitDone, "- /Teams/beaudoin/Workspaces/laval", "diff", folder, "--replace")
	command.want(exitDone, "accepted as revision 2", "apply", folder, "--replace")
}

func TestSettingsUsage(t *testing.T) {
	command := newSettingsCommand(t)
	tests := []struct {
		contains string
		args     []string
	}{
		{"not one JSON value", []string{"set", "Routes", "draft", "{"}},
		{"no such file", []string{"apply", filepath.Join(command.folder, "absent")}},
		{"want one of Routes", []string{"apply", command.write("odd.json", `{"Widgets":{"a":{}}}`)}},
		{"want a whole number", []string{"undo", "last"}},
		{"accepts 2 arg(s)", []string{"get", "Routes"}},
	}
	for _, test := range tests {
		command.want(exitUsage, test.contains, test.args...)
	}
}
