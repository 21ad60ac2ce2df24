package entry

import (
	"net"

	"github.com/cockroachdb/errors"
)

// portTries bounds the tries to find a port that is free for both protocols,
// where any will do.
const portTries = 10

// listenPeers opens what other routers reach at address, which is IP:port: the
// socket for their messages and the listener for their calls. Where the port is
// 0 both get the same one.
func listenPeers(address string) (net.PacketConn, net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "address for routers")
	}
	tries := 1
	if port == "0" {
		tries = portTries
	}
	var failure error
	for range tries {
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, nil, errors.Wrap(err, "socket for routers")
		}
		listener, err := net.Listen("tcp", socket.LocalAddr().String())
		if err == nil {
			return socket, listener, nil
		}
		failure = errors.CombineErrors(err, socket.Close())
	}
	return nil, nil, errors.Wrap(failure, "listener for routers")
}
