package dispatch

import (
	"testing"
	"time"

	"github.com/peridotlock/peridotlock/provider"
)

// TestEndsOfHeldSubmissionAreKept guards against done tasks that start again: while their submission is held
// since its record can't be read, their ends are acknowledged and forgotten.
func TestEndsOfHeldSubmissionAreKept(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.oddRecords = true
	sim.submit(idA, newSubmission(tasks(4, 2*time.Second)))
	sim.run(time.Second)
	good, starts := sim.stored[idA], sim.starts
	sim.stored[idA] = provider.KeyedRecord{Key: idA, Value: []byte{0xff}}
	sim.takeOver()
	sim.run(5 * time.Second) // the runs end
	sim.stored[idA] = good   // mended
	sim.takeOver()
	sim.run(10 * time.Second)
	if sim.starts != starts || len(sim.violations) > 0 {
		t.Errorf("%d further starts, violations %v", sim.starts-starts, sim.violations)
	}
}
