package scenario

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// benchT runs scripts within a benchmark.
type benchT struct{ *testing.B }

// Log implements testscript.T. It prints the distributions; the log of a
// benchmark is cut after a few lines.
func (benchT) Log(args ...any) {
	for line := range strings.Lines(fmt.Sprint(args...)) {
		if strings.Contains(line, "median=") {
			fmt.Print(line)
		}
	}
}

// Parallel implements testscript.T; measurements run one at a time.
func (benchT) Parallel() {}

// Verbose implements testscript.T, so that the distributions are printed.
func (benchT) Verbose() bool { return true }

// Run implements testscript.T.
func (t benchT) Run(name string, f func(testscript.T)) {
	t.B.Run(name, func(b *testing.B) {
		for b.Loop() {
			f(benchT{b})
		}
	})
}

// BenchmarkScripts runs the scripts that measure; use -benchtime 1x.
func BenchmarkScripts(b *testing.B) {
	testscript.RunT(benchT{b}, Params("testdata/measure", "testdata/cluster"))
}
