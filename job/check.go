package job

import (
	"fmt"
	"regexp"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Bounds of a job.
const (
	MaxCount      = 100_000
	MaxMilliCPU   = 1_000_000 // of one task
	MaxMemoryMB   = 64 << 20  // of one task
	MaxDevices    = 1024      // accelerators of one task
	MaxRunTime    = 30 * 24 * time.Hour
	MaxDeadline   = 365 * 24 * time.Hour
	MaxKeyBytes   = 128
	maxNameBytes  = 128
	maxPathBytes  = 1 << 10
	maxDomains    = 256
	maxKindLength = 64
)

// validName excludes the slash that separates a job from its task.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// Fault is what is wrong with one member of a Spec, by its key in a job file.
type Fault struct {
	Key     string
	Message string
}

// faults collects what is wrong with a Spec.
type faults []Fault

func (f *faults) addf(key, format string, args ...any) {
	*f = append(*f, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (f *faults) within(key string, value, low, high int64) {
	if value < low || value > high {
		f.addf(key, "%d is not between %d and %d", value, low, high)
	}
}

func (f *faults) time(key string, value, low, high time.Duration) {
	if value < low || value > high {
		f.addf(key, "%v is not between %v and %v", value, low, high)
	}
}

func (f *faults) name(key, value string, longest int) {
	switch {
	case value == "":
		f.addf(key, "is missing")
	case len(value) > longest:
		f.addf(key, "is longer than %d bytes", longest)
	case !validName.MatchString(value):
		f.addf(key, "%q is not a name of letters, digits, ., - and _", value)
	}
}

// Check returns everything that is wrong with the job by itself.
func (s Spec) Check() []Fault {
	var f faults
	f.name("name", s.Name, maxNameBytes)
	f.name("kind", s.Kind, maxKindLength)
	f.path("team", s.Team)
	if s.Class != fleet.Batch && s.Class != fleet.LatencyCritical {
		f.addf("class", "%q is neither %s nor %s", s.Class, fleet.Batch, fleet.LatencyCritical)
	}
	f.within("count", int64(s.Count), 1, MaxCount)
	f.within("size.milli-cpu", s.Size.MilliCPU, 1, MaxMilliCPU)
	f.within("size.memory-mb", s.Size.MemoryMB, 1, MaxMemoryMB)
	f.within("size.accelerators", s.Size.Accelerators, 0, MaxDevices)
	f.time("run-time", s.RunTime, time.Millisecond, MaxRunTime)
	f.time("deadline", s.Deadline, 0, MaxDeadline)
	if len(s.FailureDomains) > maxDomains {
		f.addf("failure-domains", "more than %d", maxDomains)
	}
	for _, p := range s.FailureDomains {
		f.path("failure-domains", p)
	}
	if len(s.IdempotencyKey) > MaxKeyBytes {
		f.addf("idempotency-key", "is longer than %d bytes", MaxKeyBytes)
	}
	return f
}

func (f *faults) path(key string, p fleet.Path) {
	switch {
	case p == "":
		f.addf(key, "is missing")
	case len(p) > maxPathBytes:
		f.addf(key, "is longer than %d bytes", maxPathBytes)
	}
}
