package compare

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Status is how a play ended.
type Status string

const (
	Played      Status = "played"
	NotFitting  Status = "does not fit the site"
	Failed      Status = "failed"
	NoResult    Status = "no result"
	TimedOut    Status = "time limit"
	Interrupted Status = "interrupted"
	NotStarted  Status = "not started"
)

// defaultStopGrace is the time from SIGINT to SIGKILL of a play that is ended.
const defaultStopGrace = 5 * time.Second

// Bench runs the users' bench.
type Bench struct {
	Path      string        // absolute
	NoCPU     bool          // processor time has no price
	Why       string        // for the journal
	TimeLimit time.Duration // of one play; 0 is none
	StopGrace time.Duration // from SIGINT to SIGKILL; 0 is 5 s
}

// Play is the result of one day on one build with one seed.
type Play struct {
	Site    string         `json:"site"`
	Day     string         `json:"day"`
	File    bool           `json:"file"`
	Seed    uint64         `json:"seed"`
	Build   string         `json:"build"`
	Status  Status         `json:"status"`
	Detail  string         `json:"detail,omitempty"`    // why there is no result
	Worth   *float64       `json:"worth,omitempty"`     // set only if Status is Played, as the next two
	Rules   map[string]int `json:"rules,omitempty"`     // how often each broken rule was broken
	Lost    *int           `json:"lost_runs,omitempty"` // runs that the processes' logs give up
	Seconds float64        `json:"seconds"`             // wall clock
}

// Build builds a checkout, so that plays side by side find it built.
func (b Bench) Build(ctx context.Context, checkout string) error {
	var out output
	if err := b.run(ctx, checkout, &out, "build"); err != nil {
		return fmt.Errorf("building %s: %w: %s", checkout, err, out.lastLines())
	}
	return nil
}

// Play plays a day with a checkout as the working directory. A day that has no
// result has a status that says why.
func (b Bench) Play(ctx context.Context, checkout string, d Day, seed uint64) Play {
	p := Play{Site: d.Site.Name, Day: d.Name, File: d.File, Seed: seed}
	start := time.Now()
	p.Status, p.Detail = b.play(ctx, checkout, d, &p)
	p.Seconds = time.Since(start).Seconds()
	return p
}

func (b Bench) play(ctx context.Context, checkout string, d Day, p *Play) (Status, string) {
	dir, err := os.MkdirTemp("", "peridotlock-compare-")
	if err != nil {
		return Failed, err.Error()
	}
	defer os.RemoveAll(dir)
	report := filepath.Join(dir, "report.json")
	args := []string{"run", d.Site.Path, d.Arg, "--seed", strconv.FormatUint(p.Seed, 10), "--jobs", "1",
		"--log", "all", "--report", report, "--why", b.Why}
	if b.NoCPU {
		args = append(args, "--no-cpu")
	}
	limited, cancel := ctx, func() {}
	if b.TimeLimit > 0 {
		limited, cancel = context.WithTimeout(ctx, b.TimeLimit)
	}
	defer cancel()
	var out output
	err = b.run(limited, checkout, &out, args...)
	switch {
	case err != nil && ctx.Err() != nil:
		return Interrupted, ""
	case err != nil && limited.Err() != nil:
		return TimedOut, fmt.Sprintf("not finished after %v", b.TimeLimit)
	case err != nil && out.misfit != "":
		return NotFitting, out.misfit
	case err != nil:
		return Failed, fmt.Sprintf("%v: %s", err, out.lastLines())
	}
	worth, rules, err := readReport(report)
	if err != nil {
		return NoResult, err.Error()
	}
	p.Worth, p.Rules, p.Lost = &worth, rules, &out.lostRuns
	return Played, ""
}

// run runs the bench in a process group of its own and ends the whole group when
// ctx does.
func (b Bench) run(ctx context.Context, checkout string, out *output, args ...string) error {
	grace := b.StopGrace
	if grace == 0 {
		grace = defaultStopGrace
	}
	cmd := exec.CommandContext(ctx, b.Path, args...)
	cmd.Dir = checkout
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGINT) }
	cmd.WaitDelay = grace
	err := cmd.Run()
	if err != nil && cmd.Process != nil && ctx.Err() != nil {
		if kill := syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); kill != nil && !errors.Is(kill, syscall.ESRCH) {
			err = errors.Join(err, fmt.Errorf("killing process group %d: %w", cmd.Process.Pid, kill))
		}
	}
	out.close()
	return err
}

// readReport reads the worth and the broken rules from the bench's report.
func readReport(path string) (float64, map[string]int, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, errors.New("the bench wrote no report")
	}
	if err != nil {
		return 0, nil, err
	}
	var report struct {
		Worth *float64       `json:"G"`
		Rules map[string]int `json:"breaks"`
		Fault any            `json:"fault"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return 0, nil, fmt.Errorf("report of %d bytes: %w", len(data), err)
	}
	if report.Fault != nil {
		return 0, nil, fmt.Errorf("the report has a fault: %v", report.Fault)
	}
	if report.Worth == nil {
		return 0, nil, fmt.Errorf("report of %d bytes has no worth", len(data))
	}
	return *report.Worth, report.Rules, nil
}
