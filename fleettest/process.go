package fleettest

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// Process is a program that a test started. Its methods are safe for concurrent
// use.
type Process struct {
	name    string
	command *exec.Cmd
	lines   chan string
	ended   chan struct{}
	err     error
	log     Buffer
}

var builtPrograms struct {
	once sync.Once
	dir  string
	err  error
}

// program returns the path of a program of this module. All programs are built
// once for each test binary.
func program(t testing.TB, name string) string {
	t.Helper()
	builtPrograms.once.Do(func() {
		builtPrograms.dir, builtPrograms.err = os.MkdirTemp("", "fleettest")
		if builtPrograms.err != nil {
			return
		}
		args := append([]string{"build", "-o", builtPrograms.dir + "/"}, buildFlags...)
		command := exec.Command("go", append(args, "github.com/hickoryhead/hickoryhead/cmd/...")...)
		var output []byte
		output, builtPrograms.err = command.CombinedOutput()
		builtPrograms.err = errors.Wrapf(builtPrograms.err, "%s", output)
	})
	if builtPrograms.err != nil {
		t.Fatalf("building the programs: %v", builtPrograms.err)
	}
	return filepath.Join(builtPrograms.dir, name)
}

// Clean removes the programs that were built. Call it at the end of TestMain.
func Clean() {
	if builtPrograms.dir != "" {
		os.RemoveAll(builtPrograms.dir)
	}
}

// start starts a program and kills it when the test ends. label names the
// process in messages.
func start(t testing.TB, label, name string, args ...string) *Process {
	t.Helper()
	process := &Process{name: label, lines: make(chan string, 16), ended: make(chan struct{})}
	process.command = exec.Command(program(t, name), args...)
	process.command.Stderr = &process.log
	out, err := process.command.StdoutPipe()
	if err != nil {
		t.Fatalf("opening the output of %s: %v", label, err)
	}
	if err := process.command.Start(); err != nil {
		t.Fatalf("starting %s: %v", label, err)
	}
	reader := &lineReader{process: process, scanner: bufio.NewScanner(out)}
	go reader.run()
	t.Cleanup(func() {
		process.Kill()
		if strings.Contains(process.log.String(), "DATA RACE") {
			t.Errorf("%s reported a data race", label)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", label, process.log.String())
		}
	})
	return process
}

// lineReader forwards the lines that a process prints on its standard output and
// waits for the process to exit.
type lineReader struct {
	process *Process
	scanner *bufio.Scanner
}

func (reader *lineReader) run() {
	process := reader.process
	for reader.scanner.Scan() {
		select {
		case process.lines <- reader.scanner.Text():
		default:
		}
	}
	process.err = process.command.Wait()
	close(process.ended)
}

// line waits for the first line of output that begins with prefix and returns
// the rest of that line. It fails the test if the process exits before.
func (process *Process) line(t testing.TB, prefix string) string {
	t.Helper()
	return await(t, process, fmt.Sprintf("%q", prefix), func(line string) (string, bool) {
		return strings.CutPrefix(line, prefix)
	})
}

// await waits for the first line of output that decode accepts and returns what it holds. It
// fails the test, naming what it waited for, if the process exits before.
func await[T any](t testing.TB, process *Process, what string, decode func(line string) (T, bool)) T {
	t.Helper()
	for {
		select {
		case line := <-process.lines:
			if value, found := decode(line); found {
				return value
			}
		case <-process.ended:
			t.Fatalf("%s exited before it printed %s: %v\n%s", process.name, what, process.err, process.log.String())
		}
	}
}

// Kill kills the process, also if it is frozen, and waits until it has exited.
func (process *Process) Kill() {
	_ = process.command.Process.Signal(syscall.SIGCONT)
	_ = process.command.Process.Kill()
	<-process.ended
}

// Freeze suspends the process until Resume or Kill.
func (process *Process) Freeze() { _ = process.command.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (process *Process) Resume() { _ = process.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully. It doesn't wait for the exit.
func (process *Process) Terminate() { _ = process.command.Process.Signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, which says that the settings file has changed.
func (process *Process) Hangup() { _ = process.command.Process.Signal(syscall.SIGHUP) }

// Wait waits until the process has exited. It returns an error unless it
// exited with status 0.
func (process *Process) Wait() error {
	<-process.ended
	return process.err
}

// Ended returns a channel that is closed once the process has exited.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Log returns what the process has written to its standard error so far.
func (process *Process) Log() string { return process.log.String() }
