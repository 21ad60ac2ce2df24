package fleettest

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// Process is one running program.
type Process struct {
	name    string
	command *exec.Cmd
	lines   chan string
	ended   chan struct{}
	err     error
	log     lockedBuffer
}

var build struct {
	once sync.Once
	dir  string
	err  error
}

// program returns the path of a program of this module, built once for each
// test binary.
func program(t testing.TB, name string) string {
	t.Helper()
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "fleettest")
		if build.err != nil {
			return
		}
		args := append([]string{"build", "-o", build.dir + "/"}, buildFlags...)
		command := exec.Command("go", append(args, "github.com/hickoryhead/hickoryhead/cmd/...")...)
		var output []byte
		output, build.err = command.CombinedOutput()
		build.err = errors.Wrapf(build.err, "%s", output)
	})
	if build.err != nil {
		t.Fatalf("build: %v", build.err)
	}
	return filepath.Join(build.dir, name)
}

// Clean removes the built programs. Call it at the end of TestMain.
func Clean() {
	if build.dir != "" {
		os.RemoveAll(build.dir)
	}
}

// start runs a program and ends it with the test.
func start(t testing.TB, label, name string, args ...string) *Process {
	t.Helper()
	process := &Process{name: label, lines: make(chan string, 16), ended: make(chan struct{})}
	process.command = exec.Command(program(t, name), args...)
	process.command.Stderr = &process.log
	out, err := process.command.StdoutPipe()
	if err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	if err := process.command.Start(); err != nil {
		t.Fatalf("%s: %v", label, err)
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

// lineReader passes on the lines that a process prints, and waits for its end.
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

// line waits for the first line that begins with prefix and returns the rest.
func (process *Process) line(t testing.TB, prefix string) string {
	t.Helper()
	for {
		select {
		case line := <-process.lines:
			if rest, found := strings.CutPrefix(line, prefix); found {
				return rest
			}
		case <-process.ended:
			t.Fatalf("%s ended early: %v\n%s", process.name, process.err, process.log.String())
		}
	}
}

// Kill ends the process at once and waits for its end.
func (process *Process) Kill() {
	_ = process.command.Process.Signal(syscall.SIGCONT)
	_ = process.command.Process.Kill()
	<-process.ended
}

// Freeze stops the process without ending it.
func (process *Process) Freeze() { _ = process.command.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (process *Process) Resume() { _ = process.command.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully.
func (process *Process) Terminate() { _ = process.command.Process.Signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns its error.
func (process *Process) Wait() error {
	<-process.ended
	return process.err
}

// Ended is closed once the process has ended.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Log returns what the process has logged.
func (process *Process) Log() string { return process.log.String() }

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (locked *lockedBuffer) Write(content []byte) (int, error) {
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.buffer.Write(content)
}

// String returns what was written.
func (locked *lockedBuffer) String() string {
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.buffer.String()
}
