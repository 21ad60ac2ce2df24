package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// hosts counts the addresses that Host has returned.
var hosts atomic.Int32

// Host returns a loopback IP address that no other test process uses, a separate one for each
// process that a test starts, as each VM has its own. A restarted process finds its former ports
// free, because outgoing connections of other processes come from 127.0.0.1.
func Host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, 1+pid%254, 1+hosts.Add(1)%253)
}

// AnyPort returns a listen address at which the system chooses the port, on a Host.
func AnyPort() string { return net.JoinHostPort(Host(), "0") }
