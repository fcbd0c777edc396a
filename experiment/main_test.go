package experiment

import (
	"flag"
	"os"
	"testing"
)

// defaults of the drawn tests; -rapid.seed and -rapid.checks change them.
var defaults = map[string]string{"rapid.seed": "1", "rapid.checks": "40"}

// TestMain draws the same cases in each run unless told otherwise.
func TestMain(m *testing.M) {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
