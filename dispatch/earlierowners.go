package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/provider"
)

// EarlierOwner is what a VM that may have owned the cell earlier says of the leases that it has granted.
// Times are since boot of the VM of this Core.
type EarlierOwner struct {
	// EndedBy is a time by which all earlier processes of that VM had ended; 0 if there was none.
	EndedBy time.Duration
	// Leases has the ends of the leases that its present process has granted. Other executors have none of it, and
	// the process grants no more.
	Leases map[provider.ExecutorID]time.Duration
	// AllUntil is the end of leases that this process may have granted to any executor.
	AllUntil time.Duration
}

// SetEarlierOwners sets what is known of all owners whose leases may still be in force. Runs on executors that can't be
// reached are then waited for only until the last of these leases ends.
//
// Load pattern: executors are lost for good, and the owner is killed before it has stored which ones. Its
// successor can't reach them either, and has to take the longest lease that it may have granted for granted. The same
// holds for the next successor, if that one is killed as well.
func (c *Core) SetEarlierOwners(owners []EarlierOwner) {
	c.earlierOwners = append([]EarlierOwner{}, owners...)
	for _, e := range c.executors {
		c.limitEarlierLease(e)
	}
}

// limitEarlierLease determines when the leases of earlier owners on an executor have ended.
func (c *Core) limitEarlierLease(e *executor) {
	e.earlierLeaseEnd = e.earlierLeaseBound
	if c.earlierOwners == nil {
		return
	}
	var end time.Duration
	for _, o := range c.earlierOwners {
		end = max(end, o.AllUntil, o.Leases[e.info.ID])
		if o.EndedBy != 0 {
			end = max(end, o.EndedBy+c.longestEarlierLease(e))
		}
	}
	e.earlierLeaseEnd = min(e.earlierLeaseEnd, end)
}

// longestEarlierLease returns the longest time for which an earlier owner can have granted a lease on an executor.
func (c *Core) longestEarlierLease(e *executor) time.Duration {
	otherInstance := e.instance != 0 && e.info.StartTimeMs != 0 && e.instance != e.info.StartTimeMs
	if otherInstance || e.restartedAt != 0 || c.earlierExtended {
		return c.longestLease()
	}
	return min(c.longestLease(), c.longestGrant())
}

// longestGrant returns the longest time for which a heartbeat grants a lease, by a slow clock of an executor whose
// newest report is maxReportAge old. Extended leases and those on the clock of another instance last longer.
func (c *Core) longestGrant() time.Duration {
	return time.Duration(float64(c.options.Lease+maxReportAge)/(1-maxClockDrift)) - maxReportAge
}

// hasRestartedLately reports whether leases granted on the clock of an executor's earlier instance may be in force.
func (c *Core) hasRestartedLately(e *executor, now time.Duration) bool {
	return e.restartedAt != 0 && now-e.restartedAt <= c.longestLease()
}

// GrantedLeases returns the ends of the leases that this owner has granted and that are not over.
func (c *Core) GrantedLeases(now time.Duration) map[provider.ExecutorID]time.Duration {
	leases := map[provider.ExecutorID]time.Duration{}
	for id, e := range c.executors {
		end := e.leaseEnd
		for _, r := range e.runs {
			if r.state == runStarting { // another instance than the one that has reported may receive it
				end = max(end, now+c.longestLease())
			}
			end = max(end, r.leaseEnd)
		}
		if now < end+leaseMargin {
			leases[id] = end
		}
	}
	return leases
}

// extendedKey is the key of the record that says that an owner may have extended leases. Its value has
// no meaning.
const extendedKey = "extended"

// extension is the state of an owner's extended leases.
type extension struct {
	until    time.Duration // 0: none are wanted
	stored   bool          // successors know of it
	storedAt time.Duration
}

// ExtendLeases makes further heartbeats grant leases that end at until, or as late as
// executors grant them, if that is later than Options.Lease allows. It takes effect once a record is
// stored that announces it to successors, for executors that then answer a heartbeat. The caller ensures that
// the InheritedLease of a successor ends later, also by an executor's slow clock.
//
// Load pattern: VMs that own cells are restarted in turn while the store is slow. Between two
// owners of a cell lie several seconds, and the leases of all its runs would end in that time.
func (c *Core) ExtendLeases(until time.Duration) { c.extension.until = until }

// mayExtendLease reports whether an executor may be granted an extended lease. It has to have answered a heartbeat that
// was sent since: the lease of one that is lost would only delay its tasks.
func (c *Core) mayExtendLease(e *executor) bool {
	return c.extension.stored && e.lastReportSent >= c.extension.storedAt
}

// awaitsExtension reports whether an executor with runs has no extended lease yet, and answers.
func (c *Core) awaitsExtension(e *executor) bool {
	return c.extension.stored && !e.extensionSent && len(e.runs) > 0 && e.contactLostAt == 0 && e.reported
}

// PlanExtension returns a batch with the record of ExtendLeases alone. It is empty if the record is stored or not
// needed.
func (c *Core) PlanExtension(now time.Duration) *Batch {
	b := &Batch{PlannedAt: now}
	c.planExtension(b)
	return b
}

func (c *Core) planExtension(b *Batch) {
	if c.extension.until > 0 && !c.extension.stored {
		b.Records = append(b.Records, provider.KeyedRecord{Key: extendedKey, Value: extendedValue})
		b.hasExtension = true
	}
}

var extendedValue = func() []byte {
	value, err := cbor.Marshal(true)
	if err != nil {
		panic(err)
	}
	return value
}()

func (c *Core) commitExtension(b *Batch, now time.Duration) {
	if b.hasExtension {
		c.extension.stored, c.extension.storedAt = true, now
	}
}

// ForgetEarlierOwners is called once all leases of earlier owners are over. With the next batch it deletes what is
// stored of them, and stores the caller's records to the same end.
func (c *Core) ForgetEarlierOwners(records ...provider.KeyedRecord) {
	if c.earlierExtended {
		c.earlierExtended = false
		if c.extension.until == 0 {
			records = append(records, provider.KeyedRecord{Key: extendedKey})
		}
	}
	c.droppedRecords = append(c.droppedRecords, records...)
}
