package ticket_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes the property tests reproducible. The -rapid.seed flag overrides it.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
