package worker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// recorder keeps the intervals of all runs.
type recorder struct {
	open  map[platform.AttemptRef]platform.StartRequest
	ended map[platform.AttemptRef]platform.AttemptStatus
	at    map[platform.AttemptRef]time.Duration
}

func newRecorder() *recorder {
	return &recorder{
		open:  map[platform.AttemptRef]platform.StartRequest{},
		ended: map[platform.AttemptRef]platform.AttemptStatus{},
		at:    map[platform.AttemptRef]time.Duration{},
	}
}

func (r *recorder) Started(s platform.StartRequest, _, _ time.Duration) {
	r.open[platform.AttemptRef{Task: s.Task, Attempt: s.Token.Attempt}] = s
}

func (r *recorder) Renewed(platform.AttemptRef, time.Duration) {}

func (r *recorder) Ended(s platform.AttemptStatus, at time.Duration) {
	ref := platform.AttemptRef{Task: s.Task, Attempt: s.Token.Attempt}
	delete(r.open, ref)
	r.ended[ref] = s
	r.at[ref] = at
}

func (r *recorder) Lost(platform.AttemptRef) {}

func start(task string, term platform.Offset, attempt int, cpu int64) platform.StartRequest {
	return platform.StartRequest{
		Task: task, Token: platform.Token{Term: term, Attempt: attempt}, Kind: "appraisal",
		Size: fleet.Resources{MilliCPU: cpu}, Lease: 5 * time.Second, NotAfter: int64(time.Hour), RunTime: 10 * time.Second,
	}
}

func TestMachineFencesAndLapses(t *testing.T) {
	Convey("A worker of 4 cores", t, func() {
		rec := newRecorder()
		pace := Pace{Interference: []Interference{{Victim: "appraisal", Neighbour: "appraisal", Slowdown: 2}}}
		m := NewMachine("w", fleet.Resources{MilliCPU: 4000}, pace, rec)
		_, refused := m.Start(0, start("a", 7, 2, 3000))
		So(refused, ShouldBeNil)

		Convey("refuses older terms, used attempts, late starts and overcommitment", func() {
			reason := func(r platform.StartRequest) platform.RefusalReason {
				_, refused := m.Start(time.Second, r)
				So(refused, ShouldNotBeNil)
				return refused.Reason
			}
			So(reason(start("b", 6, 1, 100)), ShouldEqual, platform.RefusedOldTerm)
			So(reason(start("a", 7, 2, 100)), ShouldEqual, platform.RefusedOldAttempt)
			So(reason(start("b", 7, 1, 1001)), ShouldEqual, platform.RefusedOvercommit)
			late := start("b", 7, 1, 100)
			late.NotAfter = int64(time.Second) - 1
			So(reason(late), ShouldEqual, platform.RefusedExpired)
			So(m.Renew(time.Second, platform.RenewRequest{Term: 9}), ShouldBeNil)
			So(reason(start("b", 8, 1, 100)), ShouldEqual, platform.RefusedOldTerm)
		})
		Convey("ends a task at the end of its lease, also while paused", func() {
			m.Skip(20 * time.Second)
			So(rec.at[platform.AttemptRef{Task: "a", Attempt: 2}], ShouldEqual, 5*time.Second)
			So(m.Report(20 * time.Second).Attempts[0].State, ShouldEqual, platform.AttemptLapsed)
		})
		Convey("slows a task beside its neighbour, and resumes it from a checkpoint", func() {
			_, refused := m.Start(0, start("b", 7, 1, 1000))
			So(refused, ShouldBeNil)
			stopped, refused := m.Checkpoint(4*time.Second, platform.ControlRequest{Task: "a", Token: platform.Token{Term: 7, Attempt: 2}})
			So(refused, ShouldBeNil)
			So(stopped.Progress, ShouldAlmostEqual, 0.2, 1e-6)
			So(progressOf(stopped.Checkpoint), ShouldAlmostEqual, 0.2, 1e-6)
			again := start("a", 7, 3, 100)
			again.Checkpoint = stopped.Checkpoint
			_, refused = m.Stop(4*time.Second, platform.ControlRequest{Task: "a", Token: platform.Token{Term: 7, Attempt: 2}})
			So(refused, ShouldBeNil)
			resumed, refused := m.Start(4*time.Second, again)
			So(refused, ShouldBeNil)
			So(resumed.Progress, ShouldAlmostEqual, 0.2, 1e-6)
		})
	})
}

// TestMachineNeverOvercommits checks against a plain sum that no order of calls
// makes a worker hold more than its size or run an attempt twice.
func TestMachineNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := newRecorder()
		m := NewMachine("w", fleet.Resources{MilliCPU: 4000}, Pace{}, rec)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			task := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "task")
			attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
			term := platform.Offset(rapid.IntRange(0, 3).Draw(t, "term"))
			control := platform.ControlRequest{Task: task, Token: platform.Token{Term: term, Attempt: attempt}}
			ref := platform.AttemptRef{Task: task, Attempt: attempt}
			_, open := rec.open[ref]
			_, ended := rec.ended[ref]
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				r := start(task, term, attempt, int64(rapid.IntRange(500, 3000).Draw(t, "cpu")))
				_, refused := m.Start(now, r)
				if refused == nil && (open || ended) {
					t.Fatalf("%v started twice", ref)
				}
			case 1:
				m.Stop(now, control)
			case 2:
				m.Renew(now, platform.RenewRequest{Term: term, Attempts: []platform.AttemptRef{ref}, Lease: 5 * time.Second, Settled: []platform.AttemptRef{ref}})
			case 3:
				m.Advance(now)
			case 4:
				m.Skip(now)
			}
			sum, tasks := int64(0), map[string]int{}
			for _, r := range rec.open {
				sum += r.Size.MilliCPU
				tasks[r.Task]++
			}
			if sum > 4000 {
				t.Fatalf("%d of 4000 held", sum)
			}
		}
	})
}
