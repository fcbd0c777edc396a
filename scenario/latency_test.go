package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// placeholder stands for the number of the run in the arguments of measure.
const placeholder = "{n}"

// measure runs a command several times, each after setting a fault of the log,
// and logs the distribution of the duration that the pattern's group matches:
// measure LABEL COUNT FAULT PATTERN COMMAND [ARGS].
func measure(ts *testscript.TestScript, args []string) error {
	if len(args) < 5 {
		return usage("measure LABEL COUNT FAULT PATTERN COMMAND [ARGS]")
	}
	count, err := strconv.Atoi(args[1])
	if err != nil || count < 1 {
		return usage("measure: COUNT is a positive number")
	}
	var times []time.Duration
	for n := range count {
		if err := setFault(ts, []string{"log", args[2]}); err != nil {
			return err
		}
		took, err := measureOnce(ts, args[3], args[4:], n)
		if err != nil {
			return fmt.Errorf("%s, run %d: %w", args[0], n, err)
		}
		times = append(times, took)
	}
	ts.Logf("%s: %s", args[0], distribution(times))
	return setFault(ts, []string{"log", "{}"})
}

func measureOnce(ts *testscript.TestScript, pattern string, command []string, n int) (time.Duration, error) {
	numbered := make([]string, len(command))
	for i, a := range command {
		numbered[i] = strings.ReplaceAll(a, placeholder, strconv.Itoa(n+1))
	}
	match, err := matchOutput(ts, pattern, numbered)
	if err != nil {
		return 0, err
	}
	if len(match) < 2 {
		return 0, usage("measure: PATTERN needs a group")
	}
	return time.ParseDuration(match[1])
}

// distribution returns the median, the 99th percentile and the worst.
func distribution(times []time.Duration) string {
	slices.Sort(times)
	last := len(times) - 1
	at := func(percent int) time.Duration { return times[(last*percent+99)/100] }
	return fmt.Sprintf("n=%d median=%v p99=%v worst=%v", len(times), at(50), at(99), times[last])
}
