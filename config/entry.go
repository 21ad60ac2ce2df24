package config

import "github.com/hickoryhead/hickoryhead/ident"

// Entry is the settings file of a router on an entry VM of the platform, which
// keeps what lasts in the platform's store. Addresses are IP:port.
type Entry struct {
	VM   ident.VMID `validate:"required,identifier"`
	Zone ident.Zone `validate:"required,identifier"`
	// Platform is the address of the platform's store.
	Platform string `validate:"required,ipport"`
	// CallerListen is where the balancer sends the callers.
	CallerListen string `validate:"required,ipport"`
	// ReadyListen is where the balancer asks whether the router takes callers.
	ReadyListen string `validate:"required,ipport"`
	// PeerListen is where other routers send their load reports (UDP).
	PeerListen string `validate:"required,ipport"`
	// MetricsListen serves the metrics; empty serves none.
	MetricsListen string `json:",omitempty" validate:"omitempty,ipport"`
	// StopTimeoutMs is the time between the signal to stop and the kill.
	StopTimeoutMs ident.Milliseconds `validate:"gte=1000,lte=86400000"`
	// LoadMultiple is the most load of an upstream as a multiple of the mean.
	LoadMultiple float64 `validate:"gte=1,lte=100"`
	// RetryShare and RetrySlack bound the repeated requests of the whole fleet
	// to a service: a share of its requests, and a number in ten seconds.
	RetryShare float64 `validate:"gte=0,lte=10"`
	RetrySlack float64 `validate:"gte=0,lte=100000"`
	// LinkMbps is the rate of the VM's link in Mbit/s; zero means that it is not
	// known.
	LinkMbps float64 `json:",omitempty" validate:"gte=0,lte=10000000"`
	// MemoryMB bounds the memory of the process.
	MemoryMB int `json:",omitempty" validate:"gte=0,lte=1048576"`
}
