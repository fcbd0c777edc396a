package node

import (
	"context"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/internal/hedge"
	"github.com/peridotlock/peridotlock/internal/pause"
)

const (
	writeTimeout        = 2500 * time.Millisecond // one attempt; a slow store takes over a second
	maxAttemptsInFlight = 4
	// maxUrgentAttempts replaces maxAttemptsInFlight for the few calls of a takeover: with
	// half of the answers lost, 1 of 16 calls would otherwise wait for writeTimeout.
	maxUrgentAttempts = 8
	urgentAttempts    = 3                      // with the same delay, before it doubles
	retryDelay        = 100 * time.Millisecond // after a failed attempt
)

// repeated is an append to the store that is repeated until its outcome is known. An
// unanswered attempt continues in parallel with the next one, so the store must give all
// attempts the same answer or refuse all but one.
type repeated struct {
	about   subject
	delay   *hedge.Delay
	attempt func(ctx context.Context) error
	// outcome reports whether the result of an attempt is final, and the append's result
	// if so.
	outcome func(err error) (done bool, result error)
	failed  func(err error) // called after each attempt that is not final
	// minDelay returns the least time between two attempts; nil for none.
	minDelay func() time.Duration
	urgent   bool // a call of a takeover, during which the cell has no owner
}

// maxInFlight returns the maximum number of attempts in flight.
func (r repeated) maxInFlight() int {
	if r.urgent {
		return maxUrgentAttempts
	}
	return maxAttemptsInFlight
}

// delayAfter returns the time from the start of an attempt, counted from 1, to that of the
// next one.
func (r repeated) delayAfter(attempts int) time.Duration {
	delay := r.delay.Before(attempts)
	if r.urgent {
		delay = r.delay.Before(1 + (attempts-1)/urgentAttempts)
	}
	if r.minDelay != nil {
		delay = max(delay, r.minDelay())
	}
	return delay
}

// run returns the result and the number of attempts.
func (r repeated) run(ctx context.Context) (attempts int, result error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, r.maxInFlight())
	attempt := func() {
		defer crash.End(r.about.keysAndValues)
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		sent := boottime.Now()
		err := r.attempt(call)
		if err == nil {
			r.delay.Observe(boottime.Now() - sent)
		}
		results <- err
	}
	go attempt()
	inFlight, attempts := 1, 1
	timer := time.NewTimer(r.delayAfter(attempts))
	defer timer.Stop()
	lastStart := boottime.Now()
	for {
		start := false
		select {
		case err := <-results:
			inFlight--
			if done, result := r.outcome(err); done {
				return attempts, result
			}
			r.failed(err)
			if inFlight == 0 {
				pause.For(ctx, retryDelay) // the next attempt fails if ctx has ended
				start = true
			}
		case <-timer.C:
			if r.minDelay != nil {
				if left := lastStart + r.minDelay() - boottime.Now(); left > 0 { // it has risen meanwhile
					timer.Reset(left)
					continue
				}
			}
			start = inFlight < r.maxInFlight()
			timer.Reset(r.delayAfter(attempts + 1))
		case <-ctx.Done():
			return attempts, ctx.Err()
		}
		if start {
			inFlight++
			attempts++
			lastStart = boottime.Now()
			go attempt()
		}
	}
}
