package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
)

// start starts a subcommand that listens. It returns its address and a function that
// stops it and checks its exit status.
func start(t *testing.T, args ...string) (address string, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	commandLine := &commandLine{args: args, out: writer, status: make(chan int, 1)}
	go commandLine.run(ctx)
	line, err := bufio.NewReader(reader).ReadString('\n')
	address, found := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	if err != nil || !found {
		t.Fatalf("got line %q, %v, want \"listening on\" and the address", line, err)
	}
	stop = func() {
		cancel()
		if got := <-commandLine.status; got != command.ExitDone {
			t.Errorf("got status %d after the stop of %s, want %d", got, args[0], command.ExitDone)
		}
	}
	return address, stop
}

// writeConfig writes config to a file and returns its name.
func writeConfig(t *testing.T, config routing.Config) string {
	t.Helper()
	content, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "routes.json")
	if err := os.WriteFile(name, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func example(version routing.Version) routing.Config {
	return routing.Config{
		Version:  version,
		Services: []routing.Service{{Name: "pool", MaxConnections: 10, Slots: 4, CacheTokens: 9000}},
		Routes: []routing.Route{{
			Name: "r", Host: "a.example", Prefix: "/r/", Kind: routing.Stream, Timeout: 1000, Target: 200, MaxGap: 300,
			MaxAttempts: 2, Resumable: true, Sticky: true, Shares: []routing.Share{{Service: "pool", Weight: 3}},
		}},
		Workspaces: []routing.Workspace{{ID: "t", Keys: []string{"k"}}},
		Limits:     routing.Limits{HeaderBytes: 100, BodyBytes: 100, HeaderTimeout: 100, IdleTimeout: 100},
	}
}

// TestConfigure writes configurations to the platform stand-in and reads the last
// one back as a router does.
func TestConfigure(t *testing.T) {
	address, stop := start(t, "platform", "--listen", "127.0.0.1:0")
	defer stop()
	tests := []struct {
		name       string
		config     routing.Config
		wantStatus int
		wantOutput string
	}{
		{"first", example(4), command.ExitDone, "version 4 is accepted"},
		{"older", example(3), command.ExitFailed, "version 4 is accepted already"},
		{"same", example(4), command.ExitFailed, "version 4 is accepted already"},
		{"faulty", routing.Config{Version: 9}, command.ExitUsage, "Limits"},
		{"newer", example(5), command.ExitDone, "version 5 is accepted"},
	}
	for _, test := range tests {
		var output bytes.Buffer
		got := run(t.Context(), []string{"configure", "--platform", address, writeConfig(t, test.config)}, &output, &output)
		if got != test.wantStatus || !strings.Contains(output.String(), test.wantOutput) {
			t.Errorf("%s: got status %d and output %q, want %d and %q", test.name, got, output.String(), test.wantStatus, test.wantOutput)
		}
	}
	read, err := platform.NewStore(address, nil).ReadAll(t.Context(), platform.OperatorTable, "")
	if err != nil || len(read.Records) != 1 {
		t.Fatalf("got %d rows, %v, want one row with the configuration", len(read.Records), err)
	}
	got, err := platform.DecodeConfig(read.Records[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	gotText, _ := json.Marshal(got)
	wantText, _ := json.Marshal(example(5))
	if !bytes.Equal(gotText, wantText) {
		t.Errorf("got configuration %s, want %s", gotText, wantText)
	}
}

// TestRunnerMaintainsItsRow checks that a runner writes its row and removes it when
// it stops.
func TestRunnerMaintainsItsRow(t *testing.T) {
	address, stopPlatform := start(t, "platform", "--listen", "127.0.0.1:0")
	defer stopPlatform()
	store := platform.NewStore(address, nil)
	row := func() (registry.Upstream, bool) {
		read, err := store.ReadAll(t.Context(), platform.ServerTable, "")
		if err != nil || len(read.Records) == 0 {
			return registry.Upstream{}, false
		}
		decoded, err := platform.DecodeServer(ident.UpstreamID(read.Records[0].Key), read.Records[0].Value)
		return decoded, err == nil
	}
	at, stop := start(t, "runner", "--listen", "127.0.0.1:0", "--platform", address, "--id", "i-7", "--service", "pool")
	var got registry.Upstream
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if listed, found := row(); found {
			got = listed
			break
		}
	}
	if got.ID != "i-7" || got.Service != "pool" || got.Address != at || got.Leaving {
		t.Errorf("got row %+v, want the row of the runner at %s", got, at)
	}
	stop()
	if remaining, found := row(); found {
		t.Errorf("got row %+v after the stop, want none", remaining)
	}
}
