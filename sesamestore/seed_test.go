package sesamestore

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run tests the
// same cases and has the same result; -rapid.seed on the command line chooses
// another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
