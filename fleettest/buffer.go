package fleettest

import (
	"bytes"
	"sync"
)

// Buffer is a buffer that is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write appends data to the buffer. It never fails.
func (buffer *Buffer) Write(data []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.Write(data)
}

// String returns the content that has been written so far.
func (buffer *Buffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.String()
}
