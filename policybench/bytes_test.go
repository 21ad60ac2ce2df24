package policybench

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/peer"
)

// loadService answers one sidecar's question for the load of another.
type loadService struct{}

// Sample answers peer.MethodSample.
func (loadService) Sample(_ peer.SampleArgs, reply *peer.SampleReply) error {
	*reply = peer.SampleReply{Upstream: "engine-017", Load: 12}
	return nil
}

// countedConn counts the bytes of both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what was received.
func (conn countedConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (conn countedConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

// exchangeBytes returns the bytes of one exchange of loads over a connection
// that is open already, both directions together.
func exchangeBytes(t testing.TB) float64 {
	const exchanges = 100
	server := rpc.NewServer()
	if err := server.RegisterName("Load", loadService{}); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	var bytes atomic.Int64
	client := rpc.NewClient(countedConn{Conn: near, bytes: &bytes})
	t.Cleanup(func() { _ = client.Close() })
	call := func() {
		var reply peer.SampleReply
		if err := client.Call(peer.MethodSample, peer.SampleArgs{Upstream: "engine-003", Load: 11}, &reply); err != nil {
			t.Fatal(err)
		}
	}
	call() // The first exchange carries the types.
	bytes.Store(0)
	for range exchanges {
		call()
	}
	return float64(bytes.Load()) / exchanges
}

// A sidecar takes part in two exchanges for each partner that it asks, its own
// and, on average, one that another one begins.
func TestExchangesKeepToTheControlBudget(t *testing.T) {
	const budget = 5000.0
	got := exchangeBytes(t) * 2 * admission.MaxPartners / samplePeriod
	t.Logf("%.0f bytes an exchange, %.0f bytes a second for each sidecar", exchangeBytes(t), got)
	if got > budget/2 {
		t.Errorf("got %.0f bytes a second, want at most half of %.0f", got, budget)
	}
}
