package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// asyncLines is how many lines wait to be written at most.
const asyncLines = 2048

// maxBatch bounds what is written at once, in bytes.
const maxBatch = 64 << 10

// Async writes lines to another writer without ever making the caller wait: a
// line that finds the queue full is dropped and counted. Make it with NewAsync
// and start its Run.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer of lines to out.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, asyncLines)}
}

// Write takes one line over. It never fails and never waits.
func (async *Async) Write(line []byte) (int, error) {
	select {
	case async.lines <- append([]byte(nil), line...):
	default:
		async.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (async *Async) Dropped() int64 { return async.dropped.Load() }

// Run writes lines until ctx ends and then those that still wait. It ends early
// when the other writer fails, after which lines are dropped.
func (async *Async) Run(ctx context.Context) {
	told := int64(0)
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
		if dropped := async.Dropped(); dropped > told {
			if _, err := fmt.Fprintf(async.out, "{\"level\":\"WARN\",\"msg\":\"log: Lines dropped.\",\"Count\":%d}\n", dropped-told); err != nil {
				return
			}
			told = dropped
		}
	}
}

// flush writes line and what else waits, in batches, and reports whether the
// writer took it.
func (async *Async) flush(line []byte) bool {
	batch := line
	for {
		select {
		case next := <-async.lines:
			batch = append(batch, next...)
			if len(batch) < maxBatch {
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
