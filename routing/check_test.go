package routing_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/routing"
)

// validConfig returns a configuration that Check accepts.
func validConfig() routing.Config {
	return routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "pool", MaxConnections: 10}},
		Routes: []routing.Route{{
			Name: "r", Host: "a.example", Prefix: "/r/", Kind: routing.Idempotent, Timeout: 1000, MaxAttempts: 2,
			Shares: []routing.Share{{Service: "pool", Weight: 1}},
		}},
		Workspaces: []routing.Workspace{{ID: "t", Keys: []string{"k"}}},
		Limits:     routing.Limits{HeaderBytes: 100, BodyBytes: 100, HeaderTimeout: 100, IdleTimeout: 100},
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(config *routing.Config)
		want   string
	}{
		{"valid", func(*routing.Config) {}, ""},
		{"no version", func(config *routing.Config) { config.Version = 0 }, "Version"},
		{"duplicate service", func(config *routing.Config) { config.Services = append(config.Services, config.Services[0]) }, "no other service"},
		{"negative number", func(config *routing.Config) { config.Services[0].Slots = -1 }, "below 0"},
		{"no host", func(config *routing.Config) { config.Routes[0].Host = "" }, "want a Host"},
		{"prefix without slash", func(config *routing.Config) { config.Routes[0].Prefix = "r" }, "begins with /"},
		{"duplicate host and prefix", func(config *routing.Config) { config.Routes = append(config.Routes, config.Routes[0]) }, "another route"},
		{"no timeout", func(config *routing.Config) { config.Routes[0].Timeout = 0 }, "Timeout"},
		{"attempts of a non-idempotent route", func(config *routing.Config) { config.Routes[0].Kind = routing.NonIdempotent }, "not idempotent"},
		{"unknown service", func(config *routing.Config) { config.Routes[0].Shares[0].Service = "x" }, `the name "x"`},
		{"negative weight", func(config *routing.Config) { config.Routes[0].Shares[0].Weight = -1 }, "Weight"},
		{"no shares", func(config *routing.Config) { config.Routes[0].Shares = nil }, "Shares"},
		{"duplicate key", func(config *routing.Config) { config.Workspaces = append(config.Workspaces, config.Workspaces[0]) }, "one of its keys"},
		{"no limits", func(config *routing.Config) { config.Limits.BodyBytes = 0 }, "Limits"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := validConfig()
			test.change(&config)
			err := config.Check()
			if test.want == "" {
				if err != nil {
					t.Errorf("got error %v, want nil", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}

func TestKindMarshalsAsName(t *testing.T) {
	for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Stream} {
		encoded, err := json.Marshal(kind)
		if err != nil {
			t.Fatal(err)
		}
		var got routing.Kind
		if err := json.Unmarshal(encoded, &got); err != nil || got != kind {
			t.Errorf("got %v, error %v from %s, want %v", got, err, encoded, kind)
		}
	}
	var got routing.Kind
	if err := json.Unmarshal([]byte(`"twice"`), &got); err == nil {
		t.Error("got no error for an unknown kind, want one")
	}
}
