package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/colocate"
)

// refusal is the reason why an executor that accepts work can't get a task.
type refusal byte

const (
	notRefused         refusal = iota
	refusedConstraint          // service, label, spread, or where the task has failed
	refusedTicket              // the advice service has issued none
	refusedRoom                // reserved resources
	refusedProcessors          // processors that are expected to be idle, for best-effort tasks
	refusedAboveTarget         // a server is above its latency target
	refusedHarm                // expected harm to servers
	refusedSuspects            // tasks that may crash their executors are kept apart
	refusalReasons
)

func (r refusal) String() string {
	return [refusalReasons]string{"none", "constraint", "ticket", "room", "processors", "above target", "harm", "suspects"}[r]
}

// refusals counts the executors that were refused to a task, by reason.
type refusals [refusalReasons]int

func (r refusals) String() string {
	var parts []string
	for reason, n := range r {
		if n > 0 && refusal(reason) != notRefused {
			parts = append(parts, fmt.Sprintf("%s %d", refusal(reason), n))
		}
	}
	return strings.Join(parts, ", ")
}

// refusalOf translates the model's refusal of a best-effort task.
func refusalOf(r colocate.Refusal) refusal {
	switch r {
	case colocate.NotRefused:
		return notRefused
	case colocate.NoRoom:
		return refusedRoom
	case colocate.NoSpareProcessors:
		return refusedProcessors
	case colocate.ServerAboveTarget:
		return refusedAboveTarget
	}
	return refusedHarm
}

const (
	// waitingLogAfter is the time for which a step must have got no start before a line says why.
	waitingLogAfter    = time.Second
	waitingLogInterval = 2 * time.Second // between two lines of one step
)

// noteUnplaced notes that all candidates are refused to the next waiting task of a step. Once
// the step has waited for some time since its newest start, the log says why, and whether
// chooseOverdue has been tried.
func (c *Core) noteUnplaced(st *step, candidates []*candidate, why refusals, now time.Duration) {
	if st.unplacedSince == 0 {
		st.unplacedSince = now
	}
	if now-st.unplacedSince < waitingLogAfter || now-st.waitingLoggedAt < waitingLogInterval && st.waitingLoggedAt > 0 || !c.allowsWaitingLine(now) {
		return
	}
	st.waitingLoggedAt = now
	t := st.waiting[0]
	reasons := why.String()
	if t.isStray() {
		reasons = "another run of the task is listed"
	}
	capacity, used := c.capacityOf(st.job.sub.Service, candidates)
	c.events = append(c.events, Event{
		Kind: "waiting",
		Task: t.id().String(),
		Run:  t.runNumber,
		Detail: fmt.Sprintf("%d of %d tasks, %d mCPU and %d MB each; of %d executors %d accept work, refused for: %s; %s; rank %d of %d; used %d of %d mCPU, %d of %d MB%s",
			len(st.waiting), len(st.tasks), st.spec.Size.MilliCPU, st.spec.Size.MemoryMB, len(c.executors), c.acceptingWork, reasons,
			c.overdueState(st, candidates, now), slices.Index(c.waiting, st)+1, len(c.waiting),
			used.MilliCPU, capacity.MilliCPU, used.MemoryMB, capacity.MemoryMB, st.shareState()),
		Age: now - st.unplacedSince,
	})
}

// allowsWaitingLine reports whether another line may say why a step waits.
func (c *Core) allowsWaitingLine(now time.Duration) bool {
	if now-c.waitingLinesAt >= time.Second {
		c.waitingLines, c.waitingLinesAt = 0, now
	}
	c.waitingLines++
	return c.waitingLines <= maxWaitingLines
}
