// Package experiment drives the decisions about tasks in virtual time against
// small fakes of workers and compares them with a naive scheduler.
package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Truth is how a task really behaves, whatever was declared of it.
type Truth struct {
	RunTime time.Duration // alone on a VM
	Used    fleet.Resources
	Fails   bool
}

// World says how tasks behave and slow each other down.
type World struct {
	Truth    func(task string) Truth
	Slowdown func(victim, neighbour string) float64 // nil for none
}

// Worker is a fake of one worker in virtual time. It keeps its own ledger: it
// starts nothing that does not fit by declared size, nothing with an old token
// and nothing after its expiry.
type Worker struct {
	VM       platform.VM
	FailsAll bool
	trusting bool // does not check sizes itself
	world    *World
	term     platform.Offset
	runs     map[platform.AttemptRef]*run
	newest   map[string]int // newest attempt of each task
	at       time.Time      // progress is accounted up to here
	boot     time.Time
	lost     time.Duration // progress that no checkpoint holds, as time alone on a VM
}

// run is one attempt at the worker.
type run struct {
	status  platform.AttemptStatus
	lease   time.Time
	started time.Time
	truth   Truth
	share   float64
	done    float64 // progress, 0..1
	saved   float64 // progress in the newest checkpoint
}

// NewWorker returns an idle worker.
func NewWorker(vm platform.VM, w *World, now time.Time) *Worker {
	return &Worker{
		VM: vm, world: w, term: -1, at: now, boot: now,
		runs: make(map[platform.AttemptRef]*run), newest: make(map[string]int),
	}
}

// Advance accounts for the time until now: progress, ends and lapses.
func (w *Worker) Advance(now time.Time) {
	elapsed := now.Sub(w.at)
	w.at = now
	if elapsed <= 0 {
		return
	}
	pace := make(map[platform.AttemptRef]float64)
	for ref, r := range w.runs {
		if r.status.State == platform.AttemptRunning {
			pace[ref] = r.share / w.slowdown(ref)
		}
	}
	for ref, p := range pace {
		w.advance(w.runs[ref], now, elapsed, p)
	}
}

func (w *Worker) advance(r *run, now time.Time, elapsed time.Duration, pace float64) {
	r.done += pace * elapsed.Seconds() / max(r.truth.RunTime.Seconds(), 0.001)
	r.status.Progress = min(r.done, 1)
	switch {
	case now.After(r.lease):
		r.status.State = platform.AttemptLapsed
		w.lose(r)
	case r.truth.Fails && r.done > 0.1:
		r.status.State = platform.AttemptFailed
		r.status.Error = "task failed"
	case r.done >= 1:
		r.status.State = platform.AttemptFinished
	}
}

// lose accounts for the progress since the newest checkpoint.
func (w *Worker) lose(r *run) {
	w.lost += time.Duration((r.done - r.saved) * float64(r.truth.RunTime))
}

// slowdown returns the ratio of the attempt's pace alone to that now.
func (w *Worker) slowdown(victim platform.AttemptRef) float64 {
	out := 1.0
	if w.world.Slowdown == nil {
		return out
	}
	for ref, r := range w.runs {
		if ref != victim && r.status.State == platform.AttemptRunning {
			out += (w.world.Slowdown(w.runs[victim].status.Kind, r.status.Kind) - 1) * r.share
		}
	}
	return out
}

// Start starts an attempt.
func (w *Worker) Start(now time.Time, r platform.StartRequest) (platform.AttemptStatus, error) {
	w.Advance(now)
	if r.Token.Term < w.term {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedOldTerm)
	}
	w.term = r.Token.Term
	if r.Token.Attempt <= w.newest[r.Task] {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedOldAttempt)
	}
	if w.clock(now) > r.NotAfter {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedExpired)
	}
	if !w.trusting && !w.Declared().Add(r.Size).Fits(w.VM.Size) {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedOvercommit)
	}
	w.newest[r.Task] = r.Token.Attempt
	ref := platform.AttemptRef{Task: r.Task, Attempt: r.Token.Attempt}
	saved, _ := strconv.ParseFloat(r.Checkpoint, 64)
	truth := w.world.Truth(r.Task)
	truth.Fails = truth.Fails || w.FailsAll
	w.runs[ref] = &run{
		status: platform.AttemptStatus{
			Task: r.Task, Token: r.Token, State: platform.AttemptRunning, Class: r.Class,
			Kind: r.Kind, Size: r.Size, Checkpoint: r.Checkpoint, Progress: saved,
		},
		lease: now.Add(r.Lease), started: now, truth: truth, share: 1, done: saved, saved: saved,
	}
	return w.runs[ref].status, nil
}

func (w *Worker) refuse(reason platform.RefusalReason) error {
	return &platform.RefusedError{Reason: reason, Term: w.term, Detail: w.VM.ID}
}

// Renew extends leases and answers with a report.
func (w *Worker) Renew(now time.Time, r platform.RenewRequest) (platform.Report, error) {
	w.Advance(now)
	if r.Term < w.term {
		return platform.Report{}, w.refuse(platform.RefusedOldTerm)
	}
	w.term = r.Term
	for _, ref := range r.Settled {
		if e, ok := w.runs[ref]; ok && e.status.State != platform.AttemptRunning {
			delete(w.runs, ref)
		}
	}
	for _, ref := range r.Attempts {
		if e, ok := w.runs[ref]; ok && e.status.State == platform.AttemptRunning {
			e.lease = now.Add(r.Lease)
		}
	}
	return w.Report(now), nil
}

// Control carries out a checkpoint, throttle or stop.
func (w *Worker) Control(now time.Time, kind string, r platform.ControlRequest) (platform.AttemptStatus, error) {
	w.Advance(now)
	if r.Token.Term < w.term {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedOldTerm)
	}
	e, ok := w.runs[platform.AttemptRef{Task: r.Task, Attempt: r.Token.Attempt}]
	if !ok {
		return platform.AttemptStatus{}, w.refuse(platform.RefusedUnknownTask)
	}
	if e.status.State != platform.AttemptRunning {
		return e.status, nil
	}
	switch kind {
	case "checkpoint":
		e.saved = e.done
		e.status.Checkpoint = fmt.Sprintf("%.6f", e.saved)
	case "throttle":
		e.share = r.Share
	case "stop":
		e.status.State = platform.AttemptStopped
		w.lose(e)
	}
	return e.status, nil
}

// Report returns the worker's account of itself.
func (w *Worker) Report(now time.Time) platform.Report {
	w.Advance(now)
	out := platform.Report{VM: w.VM.ID, Clock: w.clock(now), Term: w.term, Size: w.VM.Size}
	for _, ref := range w.refs() {
		r := w.runs[ref]
		out.Attempts = append(out.Attempts, r.status)
		if r.status.State == platform.AttemptRunning {
			out.Usage = append(out.Usage, platform.Usage{
				Task: ref.Task, Attempt: ref.Attempt, Used: r.truth.Used, Slowdown: w.slowdown(ref),
			})
		}
	}
	return out
}

// Declared returns the sum of the declared sizes of what runs.
func (w *Worker) Declared() fleet.Resources {
	var sum fleet.Resources
	for _, r := range w.runs {
		if r.status.State == platform.AttemptRunning {
			sum = sum.Add(r.status.Size)
		}
	}
	return sum
}

// Running returns the attempts that run, sorted.
func (w *Worker) Running() []platform.AttemptRef {
	return slices.DeleteFunc(w.refs(), func(ref platform.AttemptRef) bool {
		return w.runs[ref].status.State != platform.AttemptRunning
	})
}

func (w *Worker) refs() []platform.AttemptRef {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b platform.AttemptRef) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return a.Attempt - b.Attempt
	})
}

// clock is the worker's own monotonic clock.
func (w *Worker) clock(now time.Time) int64 { return int64(now.Sub(w.boot)) }
