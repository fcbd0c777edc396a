package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency   = time.Minute
	significance = 3  // digits
	maxExamples  = 10 // violations kept
)

type sample struct {
	request  Request
	reply    Reply
	latency  time.Duration
	overhead time.Duration // beyond the time that the endpoint took
	direct   bool          // the endpoint told its time
}

// Result is what a run of the generator saw.
type Result struct {
	duration time.Duration
	deadline time.Duration

	mu             sync.Mutex // protects all below
	samples        []sample
	latency        *hdrhistogram.Histogram // of whole answers, microseconds
	overhead       *hdrhistogram.Histogram // of whole answers, microseconds
	refusal        *hdrhistogram.Histogram // of refusals, microseconds
	Verdicts       map[Verdict]int
	WithinDeadline int      // whole answers before the deadline
	Examples       []string // of violations
}

func newResult(duration, deadline time.Duration) *Result {
	fresh := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significance)
	}
	return &Result{
		duration: duration, deadline: deadline,
		latency: fresh(), overhead: fresh(), refusal: fresh(), Verdicts: make(map[Verdict]int),
	}
}

func (r *Result) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// check classifies all samples; nothing may run any more.
func (r *Result) check(ledger *Ledger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.samples {
		runs := 1
		if ledger != nil {
			runs = ledger.Runs(s.request.ID)
		}
		r.classify(s, runs)
	}
	r.samples = nil
}

func (r *Result) classify(s sample, runs int) {
	verdict := Check(s.request, s.reply, runs)
	r.Verdicts[verdict]++
	switch {
	case verdict.IsViolation() && len(r.Examples) < maxExamples:
		r.Examples = append(r.Examples, fmt.Sprintf("%s: request %s (%s) ran %d times, status %d, outcome %q, error %v",
			verdict, s.request.ID, s.request.Class, runs, s.reply.Status, s.reply.Outcome, s.reply.Err))
	case verdict == NotRun:
		r.refusal.RecordValue(s.latency.Microseconds())
	case verdict == Correct:
		r.latency.RecordValue(s.latency.Microseconds())
		if s.direct {
			r.overhead.RecordValue(s.overhead.Microseconds())
		}
		if s.latency <= r.deadline {
			r.WithinDeadline++
		}
	}
}

// Sent returns the number of requests.
func (r *Result) Sent() int {
	n := 0
	for _, count := range r.Verdicts {
		n += count
	}
	return n
}

// Goodput returns the whole answers a second that came before the deadline.
func (r *Result) Goodput() float64 { return float64(r.WithinDeadline) / r.duration.Seconds() }

// Latency returns a percentile of the latency of whole answers.
func (r *Result) Latency(percentile float64) time.Duration { return at(r.latency, percentile) }

// Overhead returns a percentile of the latency of whole answers less the time
// that the endpoint took.
func (r *Result) Overhead(percentile float64) time.Duration { return at(r.overhead, percentile) }

// Refusal returns a percentile of the time to a refusal.
func (r *Result) Refusal(percentile float64) time.Duration { return at(r.refusal, percentile) }

// Violations returns the number of replies that must never be.
func (r *Result) Violations() int {
	return r.Verdicts[Lost] + r.Verdicts[Duplicated] + r.Verdicts[Misreported]
}

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}
