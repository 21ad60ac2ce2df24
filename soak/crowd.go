package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// crowdStream is the stream of random numbers of the crowds, so that they change no
	// other part of a soak.
	crowdStream = 1 << 33
	// crowdPause is the time between two crowds, crowdMembers their size and crowdLife how
	// long their connections stay open.
	crowdPause   = 2 * time.Second
	crowdMembers = 20
	crowdLife    = time.Second
	// crowdBodyBytes is the largest body that the configuration of the soak allows.
	crowdBodyBytes = 64 << 10
)

// crowds opens connections at one router after the other that take memory or descriptors and
// complete no request. That routers keep to their memory is checked with checkEndless.
type crowds struct {
	soak   *Soak
	random *rand.Rand
	done   chan struct{}
}

func newCrowds(soak *Soak) *crowds {
	return &crowds{soak: soak, random: rand.New(rand.NewPCG(soak.options.Seed, crowdStream)), done: make(chan struct{})}
}

func (crowds *crowds) run(ctx context.Context) {
	defer close(crowds.done)
	wait.Every(ctx, crowdPause, crowds.play)
}

// play opens the connections of one crowd and closes them after crowdLife. A router that is
// down takes none.
func (crowds *crowds) play(ctx context.Context) {
	router := crowds.soak.routers[crowds.random.IntN(len(crowds.soak.routers))]
	crowds.soak.countPlanned("crowd of unfinished requests")
	message := crowds.message()
	var members []net.Conn
	for range crowdMembers {
		conn, err := net.DialTimeout("tcp", router.settings.CallerListen, crowdLife)
		if err != nil {
			break
		}
		members = append(members, conn)
		// The router may close the connection at any time.
		_ = conn.SetWriteDeadline(time.Now().Add(crowdLife))
		_, _ = conn.Write(message)
	}
	wait.Sleep(ctx, crowdLife)
	for _, conn := range members {
		_ = conn.Close()
	}
}

// message returns what each member of a crowd sends: a request without its end, or nothing.
func (crowds *crowds) message() []byte {
	head := fmt.Sprintf("POST /once/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nHickoryhead-Attempt-Id: crowd\r\nHickoryhead-Deadline-Ms: 2000\r\n", callerHost, apiKey)
	body := bytes.Repeat([]byte("x"), crowdBodyBytes-1)
	switch crowds.random.IntN(5) {
	case 0:
		return append([]byte(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)), body...)
	case 1:
		return append([]byte(head+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))), body...)
	case 2:
		return append([]byte(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*crowdBodyBytes)), body...)
	case 3:
		return append([]byte(head), bytes.Repeat([]byte("X-Name: value\r\n"), 2000)...)
	}
	return nil
}
