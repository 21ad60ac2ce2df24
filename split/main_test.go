package split_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/seeded"
)

func TestMain(m *testing.M) {
	seeded.Main(m, "26", seeded.Setting{Name: "rapid.checks", Value: "1000"})
}
