package daemoncommand_test

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/daemoncommand"
)

// TestEntryRouterNeedsNoOperatorLibraries guards against an entry router that loads the
// HTTP framework of the operators' interface, which takes 12 MB and most of the time of a
// start on a small VM.
func TestEntryRouterNeedsNoOperatorLibraries(t *testing.T) {
	output, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.Lines(string(output)) {
		if strings.HasPrefix(name, "github.com/kataras/") {
			t.Errorf("got dependency %s, want none of iris", strings.TrimSpace(name))
		}
	}
}

// TestEntryWithoutSettingsIsAUsageError guards against an entry router that starts, or ends
// with another status, without a valid settings file.
func TestEntryWithoutSettingsIsAUsageError(t *testing.T) {
	var out, errOut bytes.Buffer
	root := command.Root("hickoryhead-entry", "An entry router of the fleet", daemoncommand.NewEntry())
	got := command.Run(t.Context(), root, []string{"entry", "--settings", t.TempDir() + "/none.json"}, &out, &errOut)
	if want := command.ExitUsage; got != want {
		t.Errorf("got status %d (%s), want %d", got, errOut.String(), want)
	}
}
