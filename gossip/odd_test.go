package gossip_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// TestOddDatagramsAreDropped guards against a router that ends because of datagrams that are
// no messages: deeply nested, cut off, with too long arrays or of random bytes.
func TestOddDatagramsAreDropped(t *testing.T) {
	member := newMember("router-1", listen(t))
	member.start(t)
	conn, err := net.Dial("udp", member.gossip.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const size = 60_000
	random := rand.New(rand.NewPCG(1, 1))
	for start := range 256 {
		noise := make([]byte, 1+random.IntN(200))
		for i := range noise {
			noise[i] = byte(random.IntN(256))
		}
		for _, body := range [][]byte{
			nil,
			bytes.Repeat([]byte{0x91}, size),
			bytes.Repeat([]byte{0x81}, size),
			{0xdd, 0xff, 0xff, 0xff, 0xff},
			{0xdf, 0xff, 0xff, 0xff, 0xff},
			{0xa1, 'r', 0xdd, 0x7f, 0xff, 0xff, 0xff, 0x95},
			noise,
		} {
			if _, err := conn.Write(append([]byte{byte(start)}, body...)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Millisecond)
	}
	other := newMember("router-2", listen(t))
	other.start(t)
	other.gossip.Add(member.gossip.Address)
	eventually(t, "message of another router", func() bool { return len(member.gossip.Addresses()) == 2 })
}
