package entry_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// writeRegional writes a configuration whose route allows the given regions, as JSON, or has
// no list if that is empty.
func (fixture *fixture) writeRegional(version int, regions string) {
	list := ""
	if regions != "" {
		list = `,"allowed-regions":` + regions
	}
	value := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","prefix":"/first/","route-type":"idempotent","timeout-ms":6000,"target-latency-ms":300,"service":"pool","max-attempts":2,"public":true%s}],"services":[{"name":"pool","max-connections":100}],"tenants":[]}`, version, list)
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
}

// TestAllowedRegionsOfTheConfiguration guards against lists of regions that are not applied
// from the configuration and the settings of a router, also when either changes.
func TestAllowedRegionsOfTheConfiguration(t *testing.T) {
	fixture := newZoneFixture(t)
	fixture.config.Zones = map[ident.Zone]ident.Region{"a": "east", "b": "west"}
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	refused := func() bool {
		status, body, header := fixture.get("/first/x")
		return status == 503 && strings.HasPrefix(body, "HH2020") && header.Get("Retry-After") != ""
	}
	fixture.writeRegional(2, `["west"]`)
	fixture.waitFor(3*time.Second, "requests in the west alone", func() bool { return fixture.servedBy("i-b") })
	fixture.writeRegional(3, `["north"]`)
	fixture.waitFor(3*time.Second, "refusal", refused)
	fixture.writeRegional(4, `["east"]`)
	fixture.waitFor(3*time.Second, "requests in the east alone", func() bool { return fixture.servedBy("i-a") })
	fixture.evacuate("a", true)
	fixture.waitFor(evacuateTime, "refusal because of an evacuation", fixture.refused)
	fixture.writeRegional(5, "")
	fixture.waitFor(3*time.Second, "requests anywhere", func() bool { return fixture.servedBy("i-b") })
}

// TestReloadOfZones guards against a map of zones that comes into force after a restart only,
// and against settings that no longer can be compared.
func TestReloadOfZones(t *testing.T) {
	fixture := newZoneFixture(t)
	fixture.writeRegional(2, `["east"]`)
	name := filepath.Join(t.TempDir(), "entry.json")
	write := func(zones string) {
		settings := fmt.Sprintf(`{"VM":"vm-1","Zone":"a","Platform":%q,"CallerListen":%q,"ReadyListen":%q,"PeerListen":%q,"StopTimeoutMs":8000,"LoadMultiple":2,"RetryShare":0.2,"RetrySlack":20%s}`,
			fixture.storeAddress, anyPort, anyPort, anyPort, zones)
		if err := os.WriteFile(name, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	fixture.reload = func() (config.Entry, error) { return config.Load[config.Entry](name) }
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	if status, body, _ := fixture.get("/first/x"); status != 503 || !strings.HasPrefix(body, "HH2020") {
		t.Errorf("got %d %q while no zone has a region, want 503 HH2020", status, body)
	}
	write(`,"Zones":{"a":"west","b":"east"}`)
	fixture.waitFor(8*time.Second, "requests in the zone of the region", func() bool { return fixture.servedBy("i-b") })
	if strings.Contains(fixture.log.String(), `"RestartNeeded":true`) {
		t.Error("got a restart needed for new zones, want none")
	}
}
