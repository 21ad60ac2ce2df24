package forward_test

import (
	"bytes"
	"sync"
)

// syncBuffer is a buffer that several goroutines may use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (syncBuffer *syncBuffer) Write(data []byte) (int, error) {
	syncBuffer.mu.Lock()
	defer syncBuffer.mu.Unlock()
	return syncBuffer.buffer.Write(data)
}

func (syncBuffer *syncBuffer) String() string {
	syncBuffer.mu.Lock()
	defer syncBuffer.mu.Unlock()
	return syncBuffer.buffer.String()
}
