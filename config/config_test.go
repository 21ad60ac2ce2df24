package config_test

import (
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/config"
)

const validSidecar = `{"VM":"vm1","Zone":"a","Region":"est","Platform":"127.0.0.1:1","PeerListen":"127.0.0.1:2",
"Secret":"0123456789abcdef0123456789abcdef","HopListen":"127.0.0.1:3",
"Upstream":{"ID":"e1","Address":"127.0.0.1:4","Model":"planogram-7b@3"}}`

// TestZonesOfAnEntryRouter guards against a settings file that is refused because it has, or
// lacks, the regions of zones.
func TestZonesOfAnEntryRouter(t *testing.T) {
	const settings = `{"VM":"vm1","Zone":"a","Platform":"127.0.0.1:1","CallerListen":"127.0.0.1:2","ReadyListen":"127.0.0.1:3","PeerListen":"127.0.0.1:4","StopTimeoutMs":8000,"LoadMultiple":2}`
	for _, zones := range []string{"", `"Zones":null,`, `"Zones":{},`, `"Zones":{"a":"east","b":"west"},`} {
		var entry config.Entry
		if err := config.Parse([]byte(strings.Replace(settings, `"VM"`, zones+`"VM"`, 1)), &entry); err != nil {
			t.Errorf("got error %v with %q, want none", err, zones)
		}
		if strings.Contains(zones, "east") && entry.Zones["a"] != "east" {
			t.Errorf("got regions %v from %q, want a in east", entry.Zones, zones)
		}
	}
}

func TestParse(t *testing.T) {
	tests := []struct {
		name    string
		replace [2]string
		want    string
	}{
		{"valid", [2]string{}, ""},
		{"unknown key", [2]string{`"VM"`, `"Colour":1,"VM"`}, `unknown field "Colour"`},
		{"host name", [2]string{"127.0.0.1:3", "localhost:3"}, `HopListen: got "localhost:3", want an IP number and a port`},
		{"missing zone", [2]string{`"Zone":"a",`, ""}, `Zone: got "", want a value`},
		{"model and service", [2]string{`"Model"`, `"Service":"orders","Model"`}, `Upstream.Model: got "planogram-7b@3", want exactly one of Model and Service`},
		{"wrong type", [2]string{`"VM":"vm1"`, `"VM":7`}, "VM: got a number, want a ident.VMID"},
		{"short secret", [2]string{"0123456789abcdef0123456789abcdef", "tell-nobody"}, "Secret: got \"(hidden)\", want a length of at least 32"},
		{"bad identifier", [2]string{`"e1"`, `"e/1"`}, `Upstream.ID: got "e/1", want 1 to 128 of the characters`},
		{"trailing", [2]string{`"planogram-7b@3"}}`, `"planogram-7b@3"}} {}`}, "nothing after it"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sidecar config.Sidecar
			content := strings.Replace(validSidecar, test.replace[0], test.replace[1], 1)
			err := config.Parse([]byte(content), &sidecar)
			if test.want == "" && err != nil {
				t.Fatalf("got error %v, want none", err)
			}
			if test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Fatalf("got error %v, want one that contains %q", err, test.want)
			}
		})
	}
}
