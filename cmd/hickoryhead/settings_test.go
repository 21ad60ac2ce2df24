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

// commandFixture runs settings commands against an operator API that stores its
// settings in a stand-in platform.
type commandFixture struct {
	t      *testing.T
	folder string
	server string
}

// newCommandFixture starts the operator API with the team beaudoin. The file
// token of the fixture's folder contains the team's credential.
func newCommandFixture(t *testing.T) *commandFixture {
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
	fixture := &commandFixture{t: t, folder: t.TempDir(), server: strings.TrimPrefix(server.URL, "http://")}
	fixture.write("token", "secret\n")
	return fixture
}

// write writes a file below the fixture's folder and returns its path.
func (fixture *commandFixture) write(name, content string) string {
	fixture.t.Helper()
	path := filepath.Join(fixture.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		fixture.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		fixture.t.Fatal(err)
	}
	return path
}

// run runs a settings command and returns its exit status and its output.
func (fixture *commandFixture) run(args ...string) (int, string) {
	var out bytes.Buffer
	commandArgs := append([]string{"settings"}, args...)
	commandArgs = append(commandArgs, "--server", fixture.server, "--team", "beaudoin", "--author", "shelf desk", "--token-file", filepath.Join(fixture.folder, "token"))
	status := run(commandArgs, &out, &out)
	return status, out.String()
}

// want checks the exit status of a settings command and a part of its output.
func (fixture *commandFixture) want(status int, contains string, args ...string) {
	fixture.t.Helper()
	got, out := fixture.run(args...)
	if got != status {
		fixture.t.Errorf("settings %v: got status %d, want %d; output: %s", args, got, status, out)
	}
	if !strings.Contains(out, contains) {
		fixture.t.Errorf("settings %v: got output %q, want it to contain %q", args, out, contains)
	}
}

func TestSettingsCommands(t *testing.T) {
	fixture := newCommandFixture(t)
	file := fixture.write("all.json", `{"Priorities":{"shelf":{"Mark":1}},"Routes":{"draft":{"Model":"m","Idempotent":true,"Priority":"shelf"}}}`)
	fixture.want(command.ExitDone, "+ /Teams/beaudoin/Priorities/shelf", "diff", file)
	fixture.want(command.ExitDone, "on revision 0", "apply", file, "--dry-run")
	fixture.want(command.ExitDone, "accepted as revision 1", "apply", file, "--reason", "opening")
	fixture.want(command.ExitDone, "nothing to change at revision 1", "apply", file)
	fixture.want(command.ExitDone, `"Priority": "shelf"`, "get", "Routes", "draft")
	fixture.want(command.ExitDone, "accepted as revision 2", "set", "Workspaces", "laval", `{"Weight":2}`)
	fixture.want(command.ExitDone, `"/Teams/beaudoin/Workspaces/laval"`, "list", "Workspaces")
	fixture.want(command.ExitDone, "- /Teams/beaudoin/Workspaces/laval", "undo", "2", "--dry-run")
	fixture.want(command.ExitDone, "accepted as revision 3", "undo", "2")
	fixture.want(command.ExitDone, `by "shelf desk": opening`, "history")
	fixture.want(command.ExitFailed, "HH4001", "delete", "Priorities", "shelf")
	fixture.want(command.ExitFailed, "HH4005", "get", "Routes", "absent")
	fixture.want(command.ExitFailed, `unknown field "model"`, "set", "Routes", "draft", `{"model":"m"}`)
}

func TestSettingsOfAFolder(t *testing.T) {
	fixture := newCommandFixture(t)
	fixture.write("team/Priorities/shelf.json", `{"Mark":1}`)
	fixture.write("team/Workspaces/laval.json", `{"Weight":1}`)
	folder := filepath.Join(fixture.folder, "team")
	fixture.want(command.ExitDone, "accepted as revision 1", "apply", folder)
	if err := os.Remove(filepath.Join(folder, "Workspaces", "laval.json")); err != nil {
		t.Fatal(err)
	}
	fixture.want(command.ExitDone, "nothing to change", "apply", folder)
	fixture.want(command.ExitDone, "- /Teams/beaudoin/Workspaces/laval", "diff", folder, "--replace")
	fixture.want(command.ExitDone, "accepted as revision 2", "apply", folder, "--replace")
}

func TestSettingsUsage(t *testing.T) {
	fixture := newCommandFixture(t)
	tests := []struct {
		contains string
		args     []string
	}{
		{"not one JSON value", []string{"set", "Routes", "draft", "{"}},
		{"no such file", []string{"apply", filepath.Join(fixture.folder, "absent")}},
		{"want one of Routes", []string{"apply", fixture.write("odd.json", `{"Widgets":{"a":{}}}`)}},
		{"want a whole number", []string{"undo", "last"}},
		{"accepts 2 arg(s)", []string{"get", "Routes"}},
	}
	for _, test := range tests {
		fixture.want(command.ExitUsage, test.contains, test.args...)
	}
}
