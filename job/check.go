package job

import (
	"fmt"
	"regexp"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// Limits on the fields of a Spec.
const (
	MaxCount        = 100_000
	MaxMilliCPU     = 1_000_000 // of one task
	MaxMemoryMB     = 64 << 20  // of one task
	MaxAccelerators = 1024      // of one task
	MaxRunTime      = 30 * 24 * time.Hour
	MaxDeadline     = 365 * 24 * time.Hour
	MaxKeyBytes     = 128 // of an idempotency key
	maxNameBytes    = 128
	maxPathBytes    = 1 << 10
	maxDomains      = 256
	maxKindBytes    = 64
)

// validName excludes the slash, which separates a job's identifier from the index
// of its task.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// Violation describes an invalid field of a Spec. Key is the key of the field in a
// job file, such as "size.milli-cpu".
type Violation struct {
	Key     string
	Message string
}

// violations collects the violations of a Spec.
type violations []Violation

func (v *violations) addf(key, format string, args ...any) {
	*v = append(*v, Violation{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *violations) checkRange(key string, value, low, high int64) {
	if value < low || value > high {
		v.addf(key, "%d is not between %d and %d", value, low, high)
	}
}

func (v *violations) checkDuration(key string, value, low, high time.Duration) {
	if value < low || value > high {
		v.addf(key, "%v is not between %v and %v", value, low, high)
	}
}

func (v *violations) checkName(key, value string, maxBytes int) {
	switch {
	case value == "":
		v.addf(key, "is missing")
	case len(value) > maxBytes:
		v.addf(key, "is longer than %d bytes", maxBytes)
	case !validName.MatchString(value):
		v.addf(key, "%q is not a name of letters, digits, ., - and _", value)
	}
}

// Check returns all violations that can be found without the settings.
func (s Spec) Check() []Violation {
	var v violations
	v.checkName("name", s.Name, maxNameBytes)
	v.checkName("kind", s.Kind, maxKindBytes)
	v.checkPath("team", s.Team)
	if s.Class != fleet.Batch && s.Class != fleet.LatencyCritical {
		v.addf("class", "%q is unknown, must be %s or %s", s.Class, fleet.Batch, fleet.LatencyCritical)
	}
	v.checkRange("count", int64(s.Count), 1, MaxCount)
	v.checkRange("size.milli-cpu", s.Size.MilliCPU, 1, MaxMilliCPU)
	v.checkRange("size.memory-mb", s.Size.MemoryMB, 1, MaxMemoryMB)
	v.checkRange("size.accelerators", s.Size.Accelerators, 0, MaxAccelerators)
	v.checkDuration("run-time", s.RunTime, time.Millisecond, MaxRunTime)
	v.checkDuration("deadline", s.Deadline, 0, MaxDeadline)
	if len(s.FailureDomains) > maxDomains {
		v.addf("failure-domains", "has more than %d entries", maxDomains)
	}
	for _, p := range s.FailureDomains {
		v.checkPath("failure-domains", p)
	}
	if len(s.IdempotencyKey) > MaxKeyBytes {
		v.addf("idempotency-key", "is longer than %d bytes", MaxKeyBytes)
	}
	return v
}

func (v *violations) checkPath(key string, p fleet.Path) {
	switch {
	case p == "":
		v.addf(key, "is missing")
	case len(p) > maxPathBytes:
		v.addf(key, "is longer than %d bytes", maxPathBytes)
	}
}
