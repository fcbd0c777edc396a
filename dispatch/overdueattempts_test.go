package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// TestOverdueWorkSpendsAttempts guards against submissions that fail since their attempts are spent
// on executors that fail all that they start, while others work.
func TestOverdueWorkSpendsAttempts(t *testing.T) {
	Convey("Given a queue with two attempts, more work than two sound executors carry, and six that fail all runs", t, func() {
		const (
			submissions = 240
			interval    = 175 * time.Millisecond
		)
		for seed := range uint64(4) {
			sim := newSimulation(8, seed)
			sim.config = policy.New(2, []policy.Queue{{Name: "q", Service: "s", MaxAttempts: 2}}, []policy.Service{{Name: "s", RejectsOverload: true}})
			sim.core.SetConfig(sim.config)
			sim.fails = func(e *fakeExecutor, _ string) bool { return e != sim.executors[0] && e != sim.executors[1] }
			sim.run(time.Second)
			var ids []submission.ID
			for i := range submissions {
				ids = append(ids, submission.ID(fmt.Sprintf("%016x", i)))
				sim.submit(string(ids[i]), newSubmission(tasks(4, time.Second)))
				sim.run(interval)
			}
			sim.run(40 * time.Second)
			states := map[submission.State]int{}
			for _, id := range ids {
				states[sim.publishedStates[id]]++
			}
			So(states[submission.Failed], ShouldBeLessThan, submissions/20)
			So(states[submission.Completed]+states[submission.Failed], ShouldEqual, submissions)
			So(sim.violations, ShouldBeEmpty)
		}
	})
}
