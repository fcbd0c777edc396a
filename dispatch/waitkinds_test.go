package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

const (
	advisedQueue    = "advised"
	specialKind     = "b"
	maxAccelerators = 2 // of one executor
)

// kindsLoad is a waitLoad with work that only some executors may run, and with occurrences.
type kindsLoad struct{ *waitLoad }

func newKindsLoad(seed uint64) *kindsLoad {
	l := &kindsLoad{newWaitLoad(seed)}
	l.advisor = &fakeAdvisor{queue: advisedQueue}
	for i, e := range l.executors {
		if i%2 == 0 {
			e.size.Accelerators = maxAccelerators
		}
		if i%4 < 2 {
			e.labels = []string{specialKind, "r2"}
		}
		if i%3 > 0 {
			l.advisor.allowed = append(l.advisor.allowed, e.id)
		}
	}
	l.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 3}, {Name: advisedQueue, Service: "s", MaxAttempts: 3, Advised: true}},
		[]policy.Service{{Name: "s", RejectsOverload: true}})
	l.core.SetConfig(l.config)
	return l
}

func (l *kindsLoad) submitSpecial(s submission.Submission) string {
	id := fmt.Sprintf("%016x", 0x1000+l.next)
	l.next++
	queue := "q"
	if l.rng.IntN(3) == 0 {
		queue = advisedQueue
	}
	l.submitTo(queue, id, s)
	return id
}

// specialStep returns a step of a random kind that needs accelerators, a label, or both.
func (l *kindsLoad) specialStep() submission.Step {
	st := tasks(1+l.rng.IntN(3), l.duration(300*time.Millisecond, 2*time.Second))
	st.Size = fleet.Resources{MilliCPU: 300 + l.rng.Int64N(1200), MemoryMB: 100 + l.rng.Int64N(400)}
	if l.rng.IntN(3) == 0 {
		st = bestEffortTasks(st.Count, fmt.Sprint("be", l.rng.IntN(3)), st.Size, st.Estimate())
	}
	if l.rng.IntN(2) == 0 {
		st.Size.Accelerators = 1 + l.rng.Int64N(maxAccelerators)
	}
	if l.rng.IntN(2) == 0 {
		st.RequiredLabel = []string{"a", specialKind, "r2"}[l.rng.IntN(3)]
	}
	st.AllowDuplicates = l.rng.IntN(3) == 0
	switch l.rng.IntN(6) {
	case 0:
		st.Gang = true
		st.Count, st.Size.Accelerators = min(st.Count, 2), min(st.Size.Accelerators, 1) // so that it fits wherever two tasks do
	case 1:
		st.MaxPerExecutor = 1
	case 2:
		st.LongRunning, st.EstimateMs, st.Count = true, 0, min(st.Count, 2)
		st.Size.MilliCPU, st.Size.MemoryMB, st.Size.Accelerators = 200, 50, min(st.Size.Accelerators, int64(l.rng.IntN(2)))
	}
	return st
}

// submitRandom submits work of a random kind: half of it of the kinds of waitLoad.
func (l *kindsLoad) submitRandom() {
	switch l.rng.IntN(6) {
	case 0, 1:
		l.submitSpecial(newSubmission(l.specialStep()))
	case 2:
		second := l.specialStep()
		second.DependsOn = []int{0}
		l.submitSpecial(newSubmission(tasks(1, 300*time.Millisecond), second))
	case 3:
		st := l.specialStep()
		if st.LongRunning {
			st.LongRunning, st.EstimateMs = false, 500
		}
		s := newSubmission(st)
		s.Occurrences, s.FirstDueMs = 2+l.rng.IntN(5), l.now.Milliseconds()+l.rng.Int64N(2000)
		s.IntervalMs = 200 + l.rng.Int64N(2500)
		l.submitSpecial(s)
	default:
		l.waitLoad.submitRandom()
	}
}

// runKindsModel runs the load in the phases of runWaitModel.
func runKindsModel(seed uint64) *kindsLoad {
	l := newKindsLoad(seed)
	l.advance(2 * time.Second)
	l.lossRate = 0.02
	for range 30 {
		l.submitRandom()
		l.injectFaults()
		for _, e := range l.executors {
			e.hot = l.rng.IntN(3) == 0
		}
		l.advance(time.Second)
	}
	l.repair()
	for range 20 {
		l.submitRandom()
		l.advance(time.Second)
	}
	l.checker.quiet = l.now
	hot := l.rng.IntN(3)
	for _, e := range l.executors {
		e.hot = hot > 0
	}
	l.advance(40 * time.Second)
	return l
}

// TestModelSpecialWorkWaits guards against work that needs accelerators, a label, a ticket or the
// end of another occurrence, and waits although it could run.
func TestModelSpecialWorkWaits(t *testing.T) {
	var waits atomic.Int64
	const seeds = 30
	t.Cleanup(func() { t.Logf("%d seeds, %d waits", seeds, waits.Load()) })
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			l := runKindsModel(seed)
			waits.Add(int64(l.checker.seen))
			if len(l.checker.violated) > 0 {
				name := strings.Fields(l.checker.violated[0])[1]
				t.Errorf("%d violations, first: %s\n%+v\n%s", len(l.checker.violated), l.checker.violated[0],
					l.accepted[submission.ID(strings.SplitN(name, ".", 2)[0])], strings.Join(l.traceOf(name), "\n"))
			}
		})
	}
}
