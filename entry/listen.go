package entry

import (
	"net"

	"github.com/cockroachdb/errors"
)

// maxPortAttempts bounds the attempts to find a port that is free for both UDP
// and TCP, if the address lets the system choose one.
const maxPortAttempts = 10

// listenPeers opens the UDP socket for messages of other routers and the TCP
// listener for their calls, both at address, which is IP:port. If the port is
// 0, the system chooses one, which both share.
func listenPeers(address string) (net.PacketConn, net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "address for other routers")
	}
	attempts := 1
	if port == "0" {
		attempts = maxPortAttempts
	}
	var failure error
	for range attempts {
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open UDP socket for other routers")
		}
		listener, err := net.Listen("tcp", socket.LocalAddr().String())
		if err == nil {
			return socket, listener, nil
		}
		failure = errors.CombineErrors(err, socket.Close())
	}
	return nil, nil, errors.Wrap(failure, "open TCP listener for other routers")
}
