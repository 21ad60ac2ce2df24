package config

import "github.com/hickoryhead/hickoryhead/ident"

// Entry is the settings file of a router on an entry VM of the platform. Such a
// router keeps its persistent data in the platform's store. Addresses are IP:port.
type Entry struct {
	VM   ident.VMID `validate:"required,identifier"`
	Zone ident.Zone `validate:"required,identifier"`
	// Platform is the address of the platform's store.
	Platform string `validate:"required,ipport"`
	// CallerListen is the address to which the load balancer sends callers.
	CallerListen string `validate:"required,ipport"`
	// ReadyListen is the address of the readiness check that the load balancer
	// calls.
	ReadyListen string `validate:"required,ipport"`
	// PeerListen is the UDP address to which other routers send load reports.
	PeerListen string `validate:"required,ipport"`
	// MetricsListen is the address that serves metrics; if it is empty, none are
	// served.
	MetricsListen string `json:",omitempty" validate:"omitempty,ipport"`
	// StopTimeoutMs is the time between the signal to stop and the killing of the
	// process.
	StopTimeoutMs ident.Milliseconds `validate:"gte=1000,lte=86400000"`
	// LoadMultiple is the maximum load of an upstream as a multiple of the mean
	// load.
	LoadMultiple float64 `validate:"gte=1,lte=100"`
	// RetryShare and RetrySlack bound the retries of the whole fleet to one
	// service: RetryShare is a share of the service's requests, RetrySlack a
	// number of retries in ten seconds on top of it.
	RetryShare float64 `validate:"gte=0,lte=10"`
	RetrySlack float64 `validate:"gte=0,lte=100000"`
	// ColdOverage and ColdSlack bound the requests of the whole fleet to a cold upstream:
	// in a second it gets at most its service's rate times ColdOverage, plus ColdSlack.
	// Without ColdOverage, upstreams are never treated as cold.
	ColdOverage float64 `json:",omitempty" validate:"gte=0,lte=1000"`
	ColdSlack   float64 `json:",omitempty" validate:"gte=0,lte=100000"`
	// HeartbeatMs is how often a live upstream writes its row; zero means unknown.
	HeartbeatMs ident.Milliseconds `json:",omitempty" validate:"gte=0,lte=3600000"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; zero means unknown.
	LinkMbps float64 `json:",omitempty" validate:"gte=0,lte=10000000"`
	// MemoryMB is the memory that the process may use, in MB. The soft memory limit
	// of the Go runtime, the memory for bodies and answers and the number of callers'
	// connections are set to shares of it; zero sets no limit.
	MemoryMB int `json:",omitempty" validate:"gte=0,lte=1048576"`
	// EvacuateMs is the time from the request to evacuate a zone within which that has to be
	// in force; zero means unknown. A router that was paused for half of it reads what
	// arrived meanwhile before it sends requests.
	EvacuateMs ident.Milliseconds `json:",omitempty" validate:"gte=0,lte=3600000"`
	// Zones holds the region of each availability zone. The upstreams of a zone without one
	// get only requests that are not restricted to regions.
	Zones map[ident.Zone]ident.Region `json:",omitempty"`
	// MaxDescriptors is how many files and sockets the process may open; zero means the
	// limit of the system. Callers' connections are bounded by a share of it.
	MaxDescriptors int `json:",omitempty" validate:"gte=0,lte=100000000"`
	// ExpectedCost turns on the choice of upstreams by the predicted time to the first
	// event, which is learned from answers.
	ExpectedCost bool `json:",omitempty"`
	// AdmissionControl turns on the refusal of requests for which the upstreams of a service
	// have no room.
	AdmissionControl bool `json:",omitempty"`
}
