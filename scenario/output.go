package scenario

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// outputLimit bounds how long a command may run.
const outputLimit = 30 * time.Second

// checkOutput runs a command, expects it to succeed and its output to match:
// output PATTERN COMMAND [ARGS].
func checkOutput(ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return usage("output PATTERN COMMAND [ARGS]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return err
	}
	path, err := exec.LookPath(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), outputLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, args[2:]...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = []string{pathKey + "=" + ts.Getenv(pathKey)}
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", args[1], err, out)
	}
	if !pattern.Match(out) {
		return fmt.Errorf("%s: no match for %q in: %s", args[1], args[0], out)
	}
	return nil
}
