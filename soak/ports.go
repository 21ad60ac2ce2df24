package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of the routers. They are below the
	// ephemeral ports, which the kernel assigns to outgoing connections.
	firstPort = 10000
	lastPort  = 30000
	// blockSize is the number of ports reserved for one soak. Each router uses
	// four.
	blockSize = 1000
	// blockTries is the number of attempts to reserve a block.
	blockTries = 100
)

// portBlock is a range of ports reserved for the routers of one soak. It listens on
// the first port of the range until release, so that a soak that runs at the same
// time does not use the ports of a router that is down.
type portBlock struct {
	lock net.Listener
	last int
	end  int
}

// claimPorts reserves a random range of ports.
func claimPorts() (*portBlock, error) {
	var failure error
	for range blockTries {
		first := firstPort + blockSize*rand.IntN((lastPort-firstPort)/blockSize)
		lock, err := net.Listen("tcp", loopback(first))
		if err == nil {
			return &portBlock{lock: lock, last: first, end: first + blockSize}, nil
		}
		failure = err
	}
	return nil, errors.Wrap(failure, "find a free range of ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// next returns the next address in the range that is free for both TCP and UDP.
func (block *portBlock) next() (string, error) {
	for block.last+1 < block.end {
		block.last++
		address := loopback(block.last)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port left in the range")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	// The socket was opened only to test the port.
	_ = socket.Close()
	return true
}

func (block *portBlock) release() { _ = block.lock.Close() }
