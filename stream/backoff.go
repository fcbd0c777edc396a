package stream

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// backoffAfter returns a random wait below a bound that doubles with each
// failure (full jitter). Random is in [0, 1).
func backoffAfter(failures int, random float64) time.Duration {
	bound := backoffMax
	if failures < 6 {
		bound = min(bound, backoffBase<<failures)
	}
	return time.Duration(random * float64(bound))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func backoff(ctx context.Context, failures int) {
	sleep(ctx, backoffAfter(failures, rand.Float64()))
}
