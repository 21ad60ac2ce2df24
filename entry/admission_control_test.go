package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/config"
)

// TestAdmissionControlIsTurnedOnWithoutARestart guards against a changed setting that is in
// force only after a restart, and against refusals while there is room.
func TestAdmissionControlIsTurnedOnWithoutARestart(t *testing.T) {
	fixture := newStreamFixture(t)
	fixture.reload = func() (config.Entry, error) {
		changed := fixture.config
		changed.AdmissionControl = true
		return changed, nil
	}
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	fixture.waitFor(20*time.Second, "reload", func() bool {
		return strings.Contains(fixture.log.String(), `"Changed":true,"RestartNeeded":false`)
	})
	for range 30 {
		fixture.stream()
	}
}
