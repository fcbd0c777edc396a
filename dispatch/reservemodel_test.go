package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// runReservationModel runs short and long batch work beside long-running tasks of which many fit only
// where batch work ends, and then no traffic.
func runReservationModel(seed uint64) *waitLoad {
	l := &waitLoad{simulation: newSimulation(6, seed)}
	l.checker = newAcceptedWaits(l.simulation)
	l.checker.calmSince = simulationStep
	size := func(low, high int64) fleet.Resources {
		return fleet.Resources{MilliCPU: low + l.rng.Int64N(high-low), MemoryMB: 100 + l.rng.Int64N(400)}
	}
	for range 20 {
		step := tasks(1+l.rng.IntN(4), l.duration(300*time.Millisecond, 2*time.Second))
		step.Size = size(300, 2000)
		switch l.rng.IntN(8) {
		case 0, 1:
			step = tasks(1+l.rng.IntN(4), l.duration(40*time.Second, 80*time.Second))
			step.Size, step.MaxPerExecutor = size(1000, 3500), 1
		case 2:
			step = longRunning(1 + l.rng.IntN(3))
			step.Size = size(4500, 7500)
		case 3:
			step = longRunning(1)
			step.Size = size(300, 1500)
		}
		l.submitNext(step)
		l.advance(l.duration(100*time.Millisecond, 800*time.Millisecond))
	}
	l.checker.quiet = l.now
	l.advance(30 * time.Second)
	return l
}

// TestModelReservedRoom guards against work that waits for room which is reserved for larger tasks
// behind long batch work.
func TestModelReservedRoom(t *testing.T) {
	var waits atomic.Int64
	t.Cleanup(func() { t.Logf("%d waits", waits.Load()) })
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			l := runReservationModel(seed)
			waits.Add(int64(l.checker.seen))
			if all := append(l.checker.violated, l.violations...); len(all) > 0 {
				t.Errorf("%d violations, first: %s", len(all), all[0])
			}
		})
	}
}
