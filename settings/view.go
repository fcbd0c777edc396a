// Package settings holds the settings of a deployment: the tree that operators
// edit, and the immutable View that the daemons work from.
package settings

import (
	"time"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// View is an immutable snapshot of the effective settings. Share it by pointer
// behind an atomic; never change one that was published.
type View struct {
	Revision platform.Offset // offset of the newest record applied; -1 for none
	Domains  []FailureDomain // sorted by path
	Services []Service       // sorted by path
	Teams    []Team          // sorted by path
	Policies map[fleet.Path]Policy
	Log      LogPolicy
	Nodes    NodePolicy
}

// FailureDomain is one failure domain and whether operators have taken it out.
type FailureDomain struct {
	Path   fleet.Path
	Region fleet.Path
	Out    bool
}

// Service is a set of endpoints behind common routes. Hosts are compared with
// the Host header of a request as text, without the port, and never resolved;
// a service without hosts serves requests whose host no service names.
type Service struct {
	Path   fleet.Path
	Hosts  []string
	Routes []Route
}

// Route gives the class of the requests with a path prefix and method; the
// longest prefix wins and an empty method matches all.
type Route struct {
	Prefix string
	Method string
	Class  fleet.RequestClass
}

// Team owns a queue. Quota bounds what its tasks may hold at once.
type Team struct {
	Path   fleet.Path
	Quota  fleet.Resources
	Weight float64 // share among teams
}

// Policy is the effective policy of one branch.
type Policy struct {
	Requests RequestPolicy
	Tasks    TaskPolicy
	Weights  Weights
}

// RequestPolicy bounds the handling of requests.
type RequestPolicy struct {
	Deadline       time.Duration // when the caller gives none
	QueueLimit     int           // requests waiting per service and entry
	RetryBudget    float64       // retries and hedges per first attempt
	MaxAttempts    int           // for idempotent requests
	BufferBytes    int64         // answers up to this are held back until whole
	MaxBodyBytes   int64
	MaxHeaderBytes int
	WatchLimit     int     // watches per entry
	EjectShare     float64 // part of the endpoints that may be ejected, 0..1
	LinkBytes      int64   // bytes a second per entry across the link between regions
}

// TaskPolicy bounds the handling of tasks.
type TaskPolicy struct {
	Lease           time.Duration
	OutageAllowance time.Duration // how long an owner without a fresh view renews
	ViewAge         time.Duration // oldest settings view that allows a start
	MaxAttempts     int
	RetryBackoff    time.Duration
	RetryBudget     float64 // retries per second and team
	MoveRate        float64 // moves a second while a failure domain drains
	QuarantineAfter int     // failures of different jobs on a worker
}

// Weights says what a deployment values; members are relative to each other.
type Weights struct {
	TailLatency float64
	Throughput  float64
	Evictions   float64
}

// LogPolicy bounds the use of the platform's log.
type LogPolicy struct {
	AppendsPerSecond float64       // per process
	SnapshotEvery    time.Duration // well below the platform's retention
}

// NodePolicy applies to the daemons of all entry VMs.
type NodePolicy struct {
	LogVerbosity int // 0, 1 or 2; the larger of this and the node's file counts
}

// DefaultPolicy returns the policy that applies where no branch says otherwise.
func DefaultPolicy() Policy {
	return Policy{
		Requests: RequestPolicy{
			Deadline:       10 * time.Second,
			QueueLimit:     256,
			RetryBudget:    0.1,
			MaxAttempts:    3,
			BufferBytes:    256 << 10,
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 64 << 10,
			WatchLimit:     2000,
			EjectShare:     0.5,
			LinkBytes:      400 << 10,
		},
		Tasks: TaskPolicy{
			Lease:           6 * time.Second,
			OutageAllowance: 10 * time.Minute,
			ViewAge:         2 * time.Second,
			MaxAttempts:     5,
			RetryBackoff:    time.Second,
			RetryBudget:     2,
			MoveRate:        4,
			QuarantineAfter: 3,
		},
		Weights: Weights{TailLatency: 1, Throughput: 1, Evictions: 1},
	}
}

// DefaultLogPolicy returns the log policy that applies unless set.
func DefaultLogPolicy() LogPolicy {
	return LogPolicy{AppendsPerSecond: 20, SnapshotEvery: 10 * time.Minute}
}

// DefaultNodePolicy returns the node policy that applies unless set.
func DefaultNodePolicy() NodePolicy {
	return NodePolicy{}
}

// PolicyAt returns the policy of the nearest branch at or above p.
func (v *View) PolicyAt(p fleet.Path) Policy {
	for {
		if pol, ok := v.Policies[p]; ok {
			return pol
		}
		if p == "" {
			return DefaultPolicy()
		}
		p = p.Parent()
	}
}

// IsOut reports whether p lies in a failure domain that was taken out.
func (v *View) IsOut(p fleet.Path) bool {
	for _, d := range v.Domains {
		if d.Out && d.Path.Contains(p) {
			return true
		}
	}
	return false
}

// Region returns the region of the failure domain that holds p, or "".
func (v *View) Region(p fleet.Path) fleet.Path {
	for _, d := range v.Domains {
		if d.Path.Contains(p) {
			return d.Region
		}
	}
	return ""
}

// Team returns the team at p.
func (v *View) Team(p fleet.Path) (Team, bool) {
	for _, t := range v.Teams {
		if t.Path == p {
			return t, true
		}
	}
	return Team{}, false
}
