package dispatch

import (
	"fmt"
	"time"
)

// StartClass is a class of steps whose waits for their first start are measured together. There
// are StartClasses of them, however many queues and widths there are.
type StartClass int

const (
	startPriorities = 4 // 0 to 2, and 3 for all higher values
	startWidths     = 4
	// StartClasses is the number of classes.
	StartClasses = ReservedKinds * startPriorities * startWidths
)

// startWidthLimits are the least numbers of tasks of the classes of wide steps.
var startWidthLimits = [startWidths - 1]int{2, 8, 32}

// startClass returns the class of a step: what it reserves, the priority of its queue, and
// its number of tasks.
func (st *step) startClass() StartClass {
	width := 0
	for width < len(startWidthLimits) && len(st.tasks) >= startWidthLimits[width] {
		width++
	}
	priority := min(max(0, st.job.priority), startPriorities-1)
	return StartClass((st.reservedKind()*startPriorities+priority)*startWidths + width)
}

// Labels returns the labels of the class for metrics.
func (c StartClass) Labels() string {
	n := int(c)
	width := [startWidths]string{"1", "2-7", "8-31", "32+"}[n%startWidths]
	priority := [startPriorities]string{"0", "1", "2", "3+"}[n/startWidths%startPriorities]
	return fmt.Sprintf("{kind=%q,priority=%q,tasks=%q}", ReservedKindName(n/startWidths/startPriorities), priority, width)
}

// FirstStart is the first start of a step by this owner and its predecessors.
type FirstStart struct {
	Class StartClass
	// Wait is the time until then from the acceptance of the submission, the due time of
	// the occurrence, or the release of a step that depends on others, whichever is last. A new
	// owner counts a release from its first plan.
	Wait time.Duration
}

// FirstStarts returns the first starts of steps since the last call.
func (c *Core) FirstStarts() []FirstStart {
	out := c.firstStarts
	c.firstStarts = nil
	return out
}

// release marks a step as released at the Unix time nowMs.
func (st *step) release(nowMs int64) {
	st.released = true
	st.releasedMs = nowMs
	if due := max(st.job.sub.AcceptedMs, st.job.dueMs(st.occurrence.number)); len(st.spec.DependsOn) == 0 && due > 0 {
		st.releasedMs = due
	}
}

// noteFirstStart records the first confirmed run of a step, unless another cell owns the
// submission: that cell may have started the step before.
func (c *Core) noteFirstStart(r *run) {
	st := r.task.step
	if st.started {
		return
	}
	st.started = true
	if st.job.borrowed || !st.released {
		return
	}
	startedMs := c.nowMs + (r.startedAt - c.plannedAt).Milliseconds()
	c.firstStarts = append(c.firstStarts, FirstStart{st.startClass(), time.Duration(max(0, startedMs-st.releasedMs)) * time.Millisecond})
}

// notStarted counts the released steps that wait for their first start.
func (c *Core) notStarted() (counts [StartClasses]int) {
	c.eachWaiting(func(st *step) {
		if !st.started && !st.job.borrowed && len(st.waiting) > 0 {
			counts[st.startClass()]++
		}
	})
	return counts
}
