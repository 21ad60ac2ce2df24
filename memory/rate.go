package memory

import "time"

const (
	// MaxStall is how long a caller within the limits may neither send nor read: its VM may
	// stall for seconds, and what it sent last may be lost.
	MaxStall = 15 * time.Second
	// minBytesPerSecond is the least mean rate of a body, a twentieth of a link of
	// 10 Mbit/s.
	minBytesPerSecond = 64 << 10
)

// BodyTime returns how long after its start a body may take for its first count bytes and
// the one that follows them.
func BodyTime(count int64) time.Duration {
	return MaxStall + time.Duration(count)*time.Second/minBytesPerSecond
}
