package placement_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/seeded"
)

// TestMain fixes the seed of the property tests, so that every run draws the same
// inputs.
func TestMain(m *testing.M) { seeded.Main(m, "6") }
