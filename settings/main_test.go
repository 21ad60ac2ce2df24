package settings_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict. The command line may set another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
