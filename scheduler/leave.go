package scheduler

import (
	"context"
	"time"
)

const (
	leaveLimit = 5 * time.Second // for giving up all units
	leaveEvery = 50 * time.Millisecond
)

// leave waits until ctx ends and then gives up the units of this node, so that
// other nodes take them over at once and not only when they find it dead. It
// returns early when the work ends for another reason.
func (s *Scheduler) leave(ctx, working context.Context) {
	select {
	case <-ctx.Done():
	case <-working.Done():
		return
	}
	s.log.Info("scheduler leaves", "units", len(s.claimer.Owned()))
	s.members.Leave()
	limit, cancel := context.WithTimeout(working, leaveLimit)
	defer cancel()
	ticker := time.NewTicker(leaveEvery)
	defer ticker.Stop()
	for !s.claimer.IsIdle() {
		select {
		case <-limit.Done():
			s.log.Info("units not given up in time", "units", len(s.claimer.Owned()))
			return
		case <-ticker.C:
		}
	}
}
