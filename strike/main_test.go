package strike_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict. The command line may set another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "5"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
