package cost_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/seeded"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { seeded.Main(m, "11") }
