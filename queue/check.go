package queue

import (
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/job"
)

// Check returns all that is wrong with a job as submitted, as a finding.List.
func Check(s job.Spec) error {
	var found finding.List
	if s.Team == "" {
		found.Addf("team", "is missing")
	}
	if s.Count < 1 || s.Count > maxCount {
		found.Addf("count", "%d is not between 1 and %d", s.Count, maxCount)
	}
	if s.Class != fleet.LatencyCritical && s.Class != fleet.Batch {
		found.Addf("class", "%q is neither %s nor %s", s.Class, fleet.LatencyCritical, fleet.Batch)
	}
	if s.Size.IsNegative() || s.Size.MilliCPU == 0 || s.Size.MemoryMB == 0 {
		found.Addf("size", "%s lacks processor or memory", s.Size)
	}
	if s.RunTime < 0 {
		found.Addf("run-time", "%s is negative", s.RunTime)
	}
	if s.Deadline < 0 {
		found.Addf("deadline", "%s is negative", s.Deadline)
	}
	return found.Err()
}
