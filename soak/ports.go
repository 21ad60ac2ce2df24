package soak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of the routers, below those that
	// the kernel gives to connections.
	firstPort = 10000
	lastPort  = 30000
	// blockSize is the number of ports of one soak: four a router.
	blockSize = 1000
	// blockTries bounds the blocks that are tried.
	blockTries = 100
)

// portBlock is a range of ports that this soak alone gives to its routers, also
// while one of them is down: it holds the first port as long as it plays.
type portBlock struct {
	lock net.Listener
	last int
	end  int
}

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
	return nil, errors.Wrap(failure, "no free range of ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// next returns an address that nothing uses, for TCP and UDP.
func (block *portBlock) next() (string, error) {
	for block.last+1 < block.end {
		block.last++
		address := loopback(block.last)
		if unused(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port is left")
}

func unused(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	// It was only tried.
	_ = socket.Close()
	return true
}

func (block *portBlock) release() { _ = block.lock.Close() }
