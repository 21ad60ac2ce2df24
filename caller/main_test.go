package caller

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/seeded"
)

// TestMain sets the seed of the property tests.
func TestMain(m *testing.M) { seeded.Main(m, "5") }
