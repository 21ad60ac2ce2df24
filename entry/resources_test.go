package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
)

// TestBoundOfCallers guards against a bound of connections that leaves no descriptors for
// others, that takes more than its share of the memory, or that holds where no limit is known.
func TestBoundOfCallers(t *testing.T) {
	tests := []struct {
		name                  string
		memoryMB, descriptors int
		want                  int
	}{
		{"neither is known", 0, 0, 0},
		{"descriptors alone", 0, 1024, 384},
		{"memory alone", 136, 0, 870},
		{"few descriptors", 136, 400, 150},
		{"many descriptors", 136, 65536, 870},
		{"a large VM", 536, 65536, 3430},
	}
	for _, test := range tests {
		if got := maxCallerConns(config.Entry{MemoryMB: test.memoryMB}, test.descriptors); got != test.want {
			t.Errorf("%s: got a bound of %d, want %d", test.name, got, test.want)
		}
	}
}

// TestDescriptorsOfSettings guards against a setting above the limit of the system that is
// taken for it.
func TestDescriptorsOfSettings(t *testing.T) {
	system := descriptorsFor(config.Entry{})
	if system <= 0 {
		t.Fatalf("got %d descriptors, want the limit of the system", system)
	}
	if got := descriptorsFor(config.Entry{MaxDescriptors: 64}); got != 64 {
		t.Errorf("got %d descriptors, want the 64 of the settings", got)
	}
	if got := descriptorsFor(config.Entry{MaxDescriptors: system + 1}); got != system {
		t.Errorf("got %d descriptors, want the %d of the system", got, system)
	}
}

// TestAuxiliaryTimeoutsOutlastStalls guards against a readiness probe that is cut off because the
// VM stalls for some seconds between accepting its connection and reading it.
func TestAuxiliaryTimeoutsOutlastStalls(t *testing.T) {
	const stall = 8 * time.Second
	daemon := new(Daemon)
	service := &httpService{server: new(http.Server)}
	daemon.boundAuxiliary(service, "readiness")
	if got := min(service.server.ReadHeaderTimeout, service.server.ReadTimeout, service.server.WriteTimeout); got < stall {
		t.Errorf("got a timeout of %v, want at least %v", got, stall)
	}
}
