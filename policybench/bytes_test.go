package policybench

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/peer"
)

// loadService responds to load requests with a fixed sample.
type loadService struct{}

// Sample implements peer.MethodSample.
func (loadService) Sample(_ peer.SampleArgs, reply *peer.SampleReply) error {
	*reply = peer.SampleReply{Upstream: "engine-017", Load: 12}
	return nil
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (conn countingConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (conn countingConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

// exchangeBytes returns the bytes of one load exchange over an established
// servedConn is a connection on which a server answers calls until it closes.
type servedConn struct {
	server *rpc.Server
	conn   net.Conn
}

func (served *servedConn) run() { served.server.ServeConn(served.conn) }

// connection, both directions together.
func exchangeBytes(t testing.TB) float64 {
	const exchanges = 100
	server := rpc.NewServer()
	if err := server.RegisterName("Load", loadService{}); err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	serving := &servedConn{server: server, conn: serverConn}
	go serving.run()
	var bytes atomic.Int64
	client := rpc.NewClient(countingConn{Conn: clientConn, bytes: &bytes})
	t.Cleanup(func() { _ = client.Close() })
	call := func() {
		var reply peer.SampleReply
		if err := client.Call(peer.MethodSample, peer.SampleArgs{Upstream: "engine-003", Load: 11}, &reply); err != nil {
			t.Fatal(err)
		}
	}
	call() // The first exchange also carries the gob type descriptions.
	bytes.Store(0)
	for range exchanges {
		call()
	}
	return float64(bytes.Load()) / exchanges
}

// Load exchanges use at most half of a sidecar's budget for control traffic. Per
// partner and round a sidecar takes part in two exchanges: one that it starts
// and, on average, one that another sidecar starts.
func TestExchangesKeepToTheControlBudget(t *testing.T) {
	const budgetBytesPerSecond = 5000.0
	got := exchangeBytes(t) * 2 * admission.MaxPartners / samplePeriodSeconds
	t.Logf("%.0f bytes per exchange, %.0f bytes per second and sidecar", exchangeBytes(t), got)
	if got > budgetBytesPerSecond/2 {
		t.Errorf("load exchanges of a sidecar: got %.0f bytes per second, want at most half of %.0f", got, budgetBytesPerSecond)
	}
}
