package node

import (
	"cmp"
	"time"

	"github.com/peridotlock/peridotlock/guard"
	"github.com/peridotlock/peridotlock/policy"
)

// machine returns what the process may use.
func (n *Node) machine() guard.Machine {
	return guard.Machine{MemoryMB: n.vm.MemoryMB, FDs: n.vm.MaxFDs}
}

// callerGuard returns the guard of callers' connections. It takes the limits of headers and
// bodies from the configuration in force.
func (n *Node) callerGuard() *guard.Guard {
	limits := n.machine().Callers()
	if c := n.vm.Clients; c.MemoryMB > 0 || c.Connections > 0 {
		limits = guard.NewLimits(cmp.Or(int64(c.MemoryMB)<<20, limits.Bytes), cmp.Or(c.Connections, limits.Connections), limits.ConnectionBytes, limits.ReceiveBuffer)
	}
	configured := func(limit func(policy.Limits) int, fallback int) func() int {
		return func() int {
			if c := n.operator.config.Load(); c != nil && limit(c.Limits) > 0 {
				return limit(c.Limits)
			}
			return fallback
		}
	}
	return guard.New(guard.Options{
		Name: "callers", Limits: limits, Log: n.log, Metrics: n.set,
		HeaderBytes:    configured(func(l policy.Limits) int { return l.HeaderBytes }, guard.DefaultHeaderBytes),
		BodyBytes:      configured(func(l policy.Limits) int { return l.BodyBytes }, guard.DefaultBodyBytes),
		ProgressWindow: time.Duration(n.vm.Clients.ProgressMs) * time.Millisecond,
	})
}

// probeGuard returns the guard of a listener for the platform or operators.
func (n *Node) probeGuard(name string) *guard.Guard {
	return guard.New(guard.Options{Name: name, Limits: n.machine().Probes(), Log: n.log, Metrics: n.set})
}

// admit returns the function that decides whether this VM has memory for a submission. A
// submission that is refused has not been stored.
func (n *Node) admit(callers *guard.Guard) func(bytes int64) bool {
	admission := guard.NewAdmission(n.machine())
	return func(bytes int64) bool {
		if admission.Admit(bytes) {
			return true
		}
		callers.CountRefusal(guard.WorkTooLarge)
		return false
	}
}
