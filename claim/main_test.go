package claim_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/seeded"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	seeded.Main(m, "5", seeded.Setting{Name: "rapid.checks", Value: "2000"}, seeded.Setting{Name: "rapid.steps", Value: "60"})
}
