package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait to be written.
const maxQueuedLines = 2048

// maxBatchBytes is the size in bytes at which a batch of lines is written.
const maxBatchBytes = 64 << 10

// Async writes log lines to another writer without blocking the caller. A line
// is dropped and counted if the queue is full. Create it with NewAsync and call
// Run in a goroutine. Write and Dropped are safe for concurrent use.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns an Async that writes to out.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of line. It never blocks and never returns an error.
func (async *Async) Write(line []byte) (int, error) {
	select {
	case async.lines <- append([]byte(nil), line...):
	default:
		async.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (async *Async) Dropped() int64 { return async.dropped.Load() }

// Run writes queued lines until ctx ends, and then the rest of the queue. It
// returns early if the other writer fails; lines are then dropped once the
// queue is full. After dropped lines it writes a line with their number.
func (async *Async) Run(ctx context.Context) {
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			async.flush(nil)
			return
		case line := <-async.lines:
			if !async.flush(line) {
				return
			}
		}
		if dropped := async.Dropped(); dropped > reported {
			if _, err := fmt.Fprintf(async.out, "{\"level\":\"WARN\",\"msg\":\"log: Lines dropped.\",\"Count\":%d}\n", dropped-reported); err != nil {
				return
			}
			reported = dropped
		}
	}
}

// flush writes line and all queued lines in batches. It reports false if the
// other writer fails.
func (async *Async) flush(line []byte) bool {
	batch := line
	for {
		select {
		case next := <-async.lines:
			batch = append(batch, next...)
			if len(batch) < maxBatchBytes {
				continue
			}
		default:
			if len(batch) == 0 {
				return true
			}
		}
		if _, err := async.out.Write(batch); err != nil {
			return false
		}
		batch = nil
	}
}
