package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/config"
)

// sections matches a section of a template, which is rendered if its key has a value.
var sections = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)

// TestTemplateWithAndWithoutColdBounds guards against a settings file that is no JSON on a
// deployment without the bounds of cold upstreams, and against one in which the part is not
// on with them.
func TestTemplateWithAndWithoutColdBounds(t *testing.T) {
	template, err := os.ReadFile("../deploy/entry.json.template")
	if err != nil {
		t.Fatal(err)
	}
	for _, bounds := range []map[string]string{{}, {"bounds.cold-overage": "1.5"}, {"bounds.cold-overage": "1.5", "bounds.cold-slack": "5"}} {
		values := map[string]string{
			"node-name|json": `"vm-1"`, "zone|json": `"a"`, "platform.address|json": `"10.0.0.1:1"`, "listen.front|json": `"10.0.0.1:2"`,
			"listen.ready|json": `"10.0.0.1:3"`, "ip": "10.0.0.1", "internal-port-range.0": "7000", "bounds.grace-s": "8", "bounds.cap-multiplier": "2.0",
			"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "58", "heartbeat-ms|json": "1200", "limits.link-mbps": "1000", "limits.memory-mb": "256", "zones|json": `{"a":"east"}`,
		}
		text := sections.ReplaceAllStringFunc(string(template), func(section string) string {
			parts := sections.FindStringSubmatch(section)
			if parts[1] != parts[3] {
				t.Errorf("got section %s that ends as %s", parts[1], parts[3])
			}
			if _, found := bounds[parts[1]]; !found {
				return ""
			}
			return parts[2]
		})
		for key, value := range bounds {
			values[key] = value
		}
		for key, value := range values {
			text = strings.ReplaceAll(text, "{{"+key+"}}", value)
		}
		var settings config.Entry
		if err := config.Parse([]byte(text), &settings); err != nil {
			t.Fatalf("with %v: got error %v in %s", bounds, err, text)
		}
		wantOverage, wantSlack := 0.0, 0.0
		if bounds["bounds.cold-overage"] != "" {
			wantOverage = 1.5
		}
		if bounds["bounds.cold-slack"] != "" {
			wantSlack = 5
		}
		if settings.ColdOverage != wantOverage || settings.ColdSlack != wantSlack {
			t.Errorf("with %v: got %v and %v, want %v and %v", bounds, settings.ColdOverage, settings.ColdSlack, wantOverage, wantSlack)
		}
	}
}
