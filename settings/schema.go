package settings

import (
	"strings"
	"time"
)

// The keys that don't hold inherited scalars.
const (
	keyKind     = "kind"
	keyOut      = "out"
	keyRoutes   = "routes"
	keyHosts    = "hosts"
	keyRemove   = "remove"
	keyBranches = "branches"
)

// Bounds of the fields.
const (
	maxCount     = 1_000_000
	maxBytes     = 1 << 40
	maxRate      = 10_000.0
	maxWeight    = 1000.0
	minWeight    = 0.001
	maxMilliCPU  = 100_000_000
	maxMemoryMB  = 1 << 30
	maxViewAge   = 5 * time.Second
	maxLease     = time.Minute
	maxAttempts  = 100
	maxVerbosity = 2
	minSnapshots = 10 * time.Second
)

// schema lists all scalar fields.
var schema = []field{
	{key: keyKind, on: onAny, parse: parseKind, bound: "organisation, region, failure-domain, rack, service, team"},
	{key: keyOut, on: onDomain, parse: parseBool, bound: "true, false"},

	durationField("policy.requests.deadline", onAny, time.Millisecond, time.Hour, func(v *values) *time.Duration { return &v.policy.Requests.Deadline }),
	integerField("policy.requests.queue-limit", onAny, 1, maxCount, func(v *values) *int { return &v.policy.Requests.QueueLimit }),
	numberField("policy.requests.retry-budget", onAny, 0, 1, func(v *values) *float64 { return &v.policy.Requests.RetryBudget }),
	integerField("policy.requests.max-attempts", onAny, 1, maxAttempts, func(v *values) *int { return &v.policy.Requests.MaxAttempts }),
	integerField("policy.requests.buffer-bytes", onAny, 0, 64<<20, func(v *values) *int64 { return &v.policy.Requests.BufferBytes }),
	integerField("policy.requests.max-body-bytes", onAny, 1, maxBytes, func(v *values) *int64 { return &v.policy.Requests.MaxBodyBytes }),
	integerField("policy.requests.max-header-bytes", onAny, 1<<10, 1<<20, func(v *values) *int { return &v.policy.Requests.MaxHeaderBytes }),
	integerField("policy.requests.watch-limit", onAny, 0, maxCount, func(v *values) *int { return &v.policy.Requests.WatchLimit }),
	numberField("policy.requests.eject-share", onAny, 0, 1, func(v *values) *float64 { return &v.policy.Requests.EjectShare }),
	integerField("policy.requests.link-bytes", onAny, 0, maxBytes, func(v *values) *int64 { return &v.policy.Requests.LinkBytes }),

	durationField("policy.tasks.lease", onAny, time.Second, maxLease, func(v *values) *time.Duration { return &v.policy.Tasks.Lease }),
	durationField("policy.tasks.outage-allowance", onAny, 0, 24*time.Hour, func(v *values) *time.Duration { return &v.policy.Tasks.OutageAllowance }),
	durationField("policy.tasks.view-age", onAny, 100*time.Millisecond, maxViewAge, func(v *values) *time.Duration { return &v.policy.Tasks.ViewAge }),
	integerField("policy.tasks.max-attempts", onAny, 1, maxAttempts, func(v *values) *int { return &v.policy.Tasks.MaxAttempts }),
	durationField("policy.tasks.retry-backoff", onAny, 10*time.Millisecond, time.Hour, func(v *values) *time.Duration { return &v.policy.Tasks.RetryBackoff }),
	numberField("policy.tasks.retry-budget", onAny, 0, maxRate, func(v *values) *float64 { return &v.policy.Tasks.RetryBudget }),
	numberField("policy.tasks.move-rate", onAny, 0, maxRate, func(v *values) *float64 { return &v.policy.Tasks.MoveRate }),
	integerField("policy.tasks.quarantine-after", onAny, 1, maxAttempts, func(v *values) *int { return &v.policy.Tasks.QuarantineAfter }),

	numberField("policy.weights.tail-latency", onAny, 0, maxWeight, func(v *values) *float64 { return &v.policy.Weights.TailLatency }),
	numberField("policy.weights.throughput", onAny, 0, maxWeight, func(v *values) *float64 { return &v.policy.Weights.Throughput }),
	numberField("policy.weights.evictions", onAny, 0, maxWeight, func(v *values) *float64 { return &v.policy.Weights.Evictions }),

	integerField("quota.milli-cpu", onTeam, 0, maxMilliCPU, func(v *values) *int64 { return &v.quota.MilliCPU }),
	integerField("quota.memory-mb", onTeam, 0, maxMemoryMB, func(v *values) *int64 { return &v.quota.MemoryMB }),
	integerField("quota.accelerators", onTeam, 0, maxCount, func(v *values) *int64 { return &v.quota.Accelerators }),
	numberField("weight", onTeam, minWeight, maxWeight, func(v *values) *float64 { return &v.weight }),

	numberField("log.appends-per-second", onRoot, 0.1, 1000, func(v *values) *float64 { return &v.log.AppendsPerSecond }),
	durationField("log.snapshot-every", onRoot, minSnapshots, 24*time.Hour, func(v *values) *time.Duration { return &v.log.SnapshotEvery }),
	integerField("nodes.log-verbosity", onRoot, 0, maxVerbosity, func(v *values) *int { return &v.nodes.LogVerbosity }),
}

// fields and groups index the schema by key; a group is a key that only holds
// others, such as "policy.tasks".
var fields, groups = indexSchema()

func indexSchema() (map[string]field, map[string]bool) {
	byKey := make(map[string]field, len(schema))
	above := map[string]bool{}
	for _, f := range schema {
		byKey[f.key] = f
		for i := range f.key {
			if f.key[i] == '.' {
				above[f.key[:i]] = true
			}
		}
	}
	return byKey, above
}

// isRemovable reports whether key names something that a branch inherits.
func isRemovable(key string) bool {
	if key == keyRoutes || strings.HasPrefix(key, routeKeyPrefix) || groups[key] {
		return true
	}
	f, ok := fields[key]
	return ok && f.apply != nil
}

// covers reports whether removing key removes the value of other.
func covers(key, other string) bool {
	switch {
	case key == other:
		return true
	case key == keyRoutes:
		return strings.HasPrefix(other, routeKeyPrefix)
	}
	return groups[key] && strings.HasPrefix(other, key+".")
}
