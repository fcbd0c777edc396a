package stream

import "time"

const (
	breakerFailures = 4 // in a row, to open
	breakerBase     = 200 * time.Millisecond
	breakerMax      = 3 * time.Second
)

// breaker stops calls to the log while it is down. After a wait it lets calls
// through again; the first failure then opens it anew, for longer.
type breaker struct {
	failures int
	until    time.Time
}

// wait returns how long calls are still stopped at now.
func (b *breaker) wait(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

func (b *breaker) succeed() { *b = breaker{} }

// fail counts a failure and reports whether the breaker is open. Random is in
// [0, 1).
func (b *breaker) fail(now time.Time, random float64) bool {
	b.failures++
	if b.failures < breakerFailures {
		return false
	}
	bound := breakerMax
	if n := b.failures - breakerFailures; n < 4 {
		bound = min(bound, breakerBase<<n)
	}
	half := bound / 2
	b.until = now.Add(half + time.Duration(random*float64(half)))
	return true
}
