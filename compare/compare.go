// Package compare plays the same days with the same seeds on two builds through
// the users' bench and sets the results side by side.
package compare

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// Names of the two builds in plays and reports.
const (
	OldBuild = "old"
	NewBuild = "new"
)

// Options configures a comparison.
type Options struct {
	Bench    Bench
	Old, New string // checkouts, absolute
	Days     []Day
	Seeds    []uint64
	Parallel int // plays at once, at least 1

	// Progress, if set, is called after each play, never concurrently.
	Progress func(done, total int, p Play)
}

type job struct {
	day      Day
	seed     uint64
	build    string
	checkout string
}

// jobs returns all plays; those of the two builds follow each other, so that an
// interrupted comparison has pairs.
func (o Options) jobs() []job {
	var jobs []job
	for _, seed := range o.Seeds {
		for _, d := range o.Days {
			jobs = append(jobs, job{d, seed, OldBuild, o.Old}, job{d, seed, NewBuild, o.New})
		}
	}
	return jobs
}

// Run builds both checkouts, plays all days and returns the results in the order
// of the days. When ctx ends, so do the plays in progress; the plays that are left
// have the status Interrupted or NotStarted.
func Run(ctx context.Context, o Options) ([]Play, error) {
	for _, checkout := range []string{o.Old, o.New} {
		if err := o.Bench.Build(ctx, checkout); err != nil {
			return nil, err
		}
	}
	jobs := o.jobs()
	plays := make([]Play, len(jobs))
	next := make(chan int)
	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		done int
	)
	for range max(o.Parallel, 1) {
		wg.Go(func() {
			for i := range next {
				plays[i] = o.play(ctx, jobs[i])
				mu.Lock()
				done++
				if o.Progress != nil && plays[i].Status != NotStarted {
					o.Progress(done, len(jobs), plays[i])
				}
				mu.Unlock()
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return plays, nil
}

func (o Options) play(ctx context.Context, j job) Play {
	p := Play{Site: j.day.Site.Name, Day: j.day.Name, File: j.day.File, Seed: j.seed, Status: NotStarted}
	if ctx.Err() == nil {
		p = o.Bench.Play(ctx, j.checkout, j.day, j.seed)
	}
	p.Build = j.build
	return p
}

// Revision describes the commit of a checkout, with "+" if files differ from it;
// those that the bench writes to the journal are not counted.
func Revision(ctx context.Context, checkout string) (string, error) {
	commit, err := git(ctx, checkout, "rev-parse", "--short", "HEAD")
	if err != nil {
		return "", err
	}
	changes, err := git(ctx, checkout, "status", "--porcelain", "--", ".", ":!journal")
	if err != nil {
		return "", err
	}
	if changes != "" {
		commit += "+"
	}
	return commit, nil
}

func git(ctx context.Context, dir string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "git", args...)
	cmd.Dir = dir
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("git %s in %s: %w", args[0], filepath.Clean(dir), err)
	}
	return strings.TrimSpace(string(out)), nil
}
