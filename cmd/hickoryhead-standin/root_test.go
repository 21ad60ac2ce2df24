package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/command"
)

// commandLine is one run of the program. run sends the exit status to status.
type commandLine struct {
	args   []string
	out    *io.PipeWriter
	status chan int
}

func (commandLine *commandLine) run(ctx context.Context) {
	commandLine.status <- run(ctx, commandLine.args, commandLine.out, io.Discard)
}

func TestCommandsListenAndStop(t *testing.T) {
	for _, name := range []string{"engine", "service", "platform"} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			reader, writer := io.Pipe()
			commandLine := &commandLine{args: []string{name}, out: writer, status: make(chan int, 1)}
			go commandLine.run(ctx)
			line, err := bufio.NewReader(reader).ReadString('\n')
			address, found := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
			if err != nil || !found {
				t.Fatalf("got line %q, %v, want \"listening on\" and the address", line, err)
			}
			conn, err := net.DialTimeout("tcp", address, time.Minute)
			if err != nil {
				t.Fatalf("got %v for a connection to %s, want it accepted", err, address)
			}
			conn.Close()
			stop()
			if got := <-commandLine.status; got != command.ExitDone {
				t.Errorf("got status %d after the stop, want %d", got, command.ExitDone)
			}
		})
	}
}

func TestExitStatuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	tests := []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, command.ExitDone},
		{[]string{"engine", "--limit", "many"}, command.ExitUsage},
		{[]string{"engine", "extra"}, command.ExitUsage},
		{[]string{"unknown"}, command.ExitUsage},
		{[]string{"service", "--listen", "localhost:0"}, command.ExitUsage},
		{[]string{"platform", "--listen", listener.Addr().String()}, command.ExitFailed},
	}
	for _, test := range tests {
		got := run(t.Context(), test.args, io.Discard, io.Discard)
		if got != test.want {
			t.Errorf("got status %d for %v, want %d", got, test.args, test.want)
		}
	}
}
