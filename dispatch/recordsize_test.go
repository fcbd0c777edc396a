package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestRecordsStaySmall guards against records that grow with the time for which a submission runs, or
// with the number of runs that are lost at once, until the store refuses them and the cell starts
// nothing any more. The store takes records of a few hundred tasks here.
func TestRecordsStaySmall(t *testing.T) {
	for _, c := range []struct {
		name        string
		recordBytes int
		play        func(sim *simulation)
	}{
		{name: "a submission that recurs", recordBytes: 2000, play: func(sim *simulation) {
			s := newSubmission(tasks(2, 50*time.Millisecond))
			s.Occurrences, s.IntervalMs = 300, 100
			sim.submit(idA, s)
			sim.run(40 * time.Second)
		}},
		{name: "a rack that is lost with all its runs", recordBytes: 4000, play: func(sim *simulation) {
			for _, e := range sim.executors {
				e.size.MilliCPU, e.size.MemoryMB = 100_000, 100_000
			}
			sim.run(3 * time.Second)
			for i := range 10 {
				sim.submit(fmt.Sprintf("%016x", i), newSubmission(tasks(24, 20*time.Second)))
			}
			sim.run(5 * time.Second)
			for _, e := range sim.executors[:3] {
				e.crash()
				e.listed = false
			}
			sim.run(60 * time.Second)
			sim.submit(idA, newSubmission(tasks(1, time.Second)))
			sim.run(10 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(6, 1)
			sim.maxRecordBytes = c.recordBytes
			c.play(sim)
			for id := range sim.accepted {
				if s := sim.publishedStates[id]; !s.IsFinal() {
					t.Errorf("submission %s is %v at the end", id, s)
				}
			}
			if len(sim.violations) > 0 {
				t.Errorf("violations %v", sim.violations)
			}
		})
	}
}
