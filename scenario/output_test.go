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
	_, err := matchOutput(ts, args[0], args[1:])
	return err
}

// matchOutput runs a command and returns the groups of the first match of the
// pattern in its output.
func matchOutput(ts *testscript.TestScript, text string, command []string) ([]string, error) {
	pattern, err := regexp.Compile("(?m)" + text)
	if err != nil {
		return nil, err
	}
	path, err := exec.LookPath(command[0])
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), outputLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, command[1:]...)
	cmd.Dir = ts.Getenv("WORK")
	cmd.Env = []string{pathKey + "=" + ts.Getenv(pathKey)}
	out, err := cmd.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %s", command[0], err, out)
	}
	match := pattern.FindStringSubmatch(string(out))
	if match == nil {
		return nil, fmt.Errorf("%s: no match for %q in: %s", command[0], text, out)
	}
	return match, nil
}
