package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/internal/crash"
	"github.com/peridotlock/peridotlock/internal/pause"
	"github.com/peridotlock/peridotlock/predecessor"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	askTimeout    = 500 * time.Millisecond // of one call to a VM that may have owned the cell
	askRetryDelay = 150 * time.Millisecond // after a failed one
	// forgetMargin is the time from the end of the longest inherited lease, by this VM's clock, after which the records
	// of earlier owners are deleted.
	forgetMargin = time.Second
)

// leaseLedger knows the leases that the terms of this process have granted. It implements predecessor.Source.
type leaseLedger struct {
	process string // distinguishes this process from others of the VM

	mu     sync.Mutex // protects the fields below
	owners map[int]*owner
	ended  map[int]*predecessor.Leases // of terms that are over, by cell
}

func newLeaseLedger() *leaseLedger {
	return &leaseLedger{process: rand.Text(), owners: map[int]*owner{}, ended: map[int]*predecessor.Leases{}}
}

// begin adds a term, before it grants leases.
func (l *leaseLedger) begin(o *owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners[o.cell] = o
}

// end adds the leases of a term that is over.
func (l *leaseLedger) end(o *owner) {
	now := boottime.Now()
	var leases predecessor.Leases
	if o.panicked {
		leases.AllUntil = now + o.n.longestLease() + inheritedLeaseMargin
	} else {
		leases.Until = o.core.GrantedLeases(now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owners[o.cell] == o {
		delete(l.owners, o.cell)
	}
	if l.ended[o.cell] == nil {
		l.ended[o.cell] = &predecessor.Leases{}
	}
	l.ended[o.cell].Add(leases)
	l.ended[o.cell].Prune(now - forgetMargin)
}

// endedLeases returns the leases of the terms of a cell that are over.
func (l *leaseLedger) endedLeases(cell int) predecessor.Leases {
	l.mu.Lock()
	defer l.mu.Unlock()
	var leases predecessor.Leases
	if ended := l.ended[cell]; ended != nil {
		leases.Add(*ended)
	}
	return leases
}

// EndTerm implements predecessor.Source.
func (l *leaseLedger) EndTerm(ctx context.Context, cell int, fence int64) (predecessor.Leases, error) {
	l.mu.Lock()
	o := l.owners[cell]
	l.mu.Unlock()
	var current predecessor.Leases
	switch {
	case o == nil:
	case o.fence >= fence:
		return predecessor.Leases{}, fmt.Errorf("the term of cell %d has fencing token %d, that of the caller %d", cell, o.fence, fence)
	default:
		var err error
		if current, err = o.supersede(ctx); err != nil {
			return predecessor.Leases{}, fmt.Errorf("end the term of cell %d: %w", cell, err)
		}
	}
	leases := l.endedLeases(cell)
	leases.Add(current)
	return leases, nil
}

// supersede ends the term, as a newer owner has claimed the cell, and returns its leases.
func (o *owner) supersede(ctx context.Context) (predecessor.Leases, error) {
	answer := make(chan predecessor.Leases, 1)
	work := func(now time.Duration) {
		o.subject = subjectOf("leases", "")
		o.superseded = true
		answer <- predecessor.Leases{Until: o.core.GrantedLeases(now)}
	}
	select {
	case o.inbox <- work:
	case <-o.ctx.Done():
		return predecessor.Leases{}, errors.New("the term is ending")
	case <-ctx.Done():
		return predecessor.Leases{}, ctx.Err()
	}
	select {
	case leases := <-answer:
		return leases, nil
	case <-o.ctx.Done():
		return predecessor.Leases{}, errors.New("the term is ending")
	case <-ctx.Done():
		return predecessor.Leases{}, ctx.Err()
	}
}

// earlierOwners is what an owner knows of the VMs whose leases may be in force.
type earlierOwners struct {
	records   map[string]predecessor.Record // by VM, of the time of the takeover
	left      int                           // VMs that have not answered
	answers   []dispatch.EarlierOwner
	forgotten bool // the records are deleted
}

// isUnknown reports whether leases may be in force that no record covers.
func (e *earlierOwners) isUnknown() bool {
	for _, r := range e.records {
		if r.AfterUnknown {
			return true
		}
	}
	return false
}

// askEarlierOwners asks all VMs that may have owned the cell which leases they have granted. Until all have answered, runs
// on executors that can't be reached are waited for as long as a lease can last.
func (o *owner) askEarlierOwners() {
	e := &o.earlier
	own := o.n.leases.endedLeases(o.cell)
	e.answers = []dispatch.EarlierOwner{{EndedBy: o.n.started, Leases: own.Until, AllUntil: own.AllUntil}}
	if e.isUnknown() {
		o.n.log.Info("earlier owners not known", "cell", o.cell, "fence", o.fence, "reason", "the claim before has no record of its VM")
		return
	}
	for vm, record := range e.records {
		if vm == o.n.vm.Name {
			continue
		}
		e.left++
		if record.Address == "" {
			o.n.log.Info("earlier owner can't be asked", "cell", o.cell, "fence", o.fence, "vm", vm)
			continue
		}
		crash.Go(func() { o.askEarlierOwner(vm, record) }, "subject", "earlier owner", "key", vm, "cell", o.cell)
	}
	o.applyEarlierOwners()
}

// askEarlierOwner asks one VM until it answers or all leases of earlier owners are over.
func (o *owner) askEarlierOwner(vm string, record predecessor.Record) {
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(o.ctx, o.n.inheritedLease())
	defer cancel()
	var err error
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, askTimeout)
		var answer dispatch.EarlierOwner
		var isRunning bool
		answer, isRunning, err = predecessor.Ask(call, o.n.leasePeers.Client(record.Address), record, o.cell, o.fence)
		cancel()
		if err == nil {
			if isRunning {
				o.n.countAnswer("running")
			} else {
				o.n.countAnswer("ended")
			}
			o.post(subjectOf("earlier owner", vm), func(now time.Duration) {
				o.n.log.Info("earlier owner answered", "cell", o.cell, "fence", o.fence, "vm", vm, "same_process", isRunning,
					"leases", len(answer.Leases), "ended_ms_ago", (now - answer.EndedBy).Milliseconds(), "after_ms", (now - asked).Milliseconds())
				o.earlier.answers = append(o.earlier.answers, answer)
				o.earlier.left--
				o.applyEarlierOwners()
			})
			return
		}
		pause.For(ctx, askRetryDelay) // the loop checks ctx
	}
	if o.ctx.Err() == nil {
		o.n.countAnswer("none")
		o.n.log.Info("earlier owner gave no answer", "cell", o.cell, "fence", o.fence, "vm", vm, "reason", err.Error(),
			"after_ms", (boottime.Now() - asked).Milliseconds())
	}
}

func (n *Node) countAnswer(answer string) {
	n.set.GetOrCreateCounter(fmt.Sprintf("peridotlock_earlier_owner_answers_total{answer=%q}", answer)).Inc()
}

func (o *owner) applyEarlierOwners() {
	if o.earlier.left == 0 {
		o.core.SetEarlierOwners(o.earlier.answers)
	}
}

// forgetEarlierOwners deletes the records of earlier owners once all their leases are over.
func (o *owner) forgetEarlierOwners(now time.Duration) {
	e := &o.earlier
	if e.forgotten || now-o.started < o.n.inheritedLease()+forgetMargin {
		return
	}
	e.forgotten = true
	var records []provider.KeyedRecord
	for vm := range e.records {
		if vm != o.n.vm.Name {
			records = append(records, predecessor.Deletion(vm))
		}
	}
	if own, ok := e.records[o.n.vm.Name]; ok && own.AfterUnknown {
		own.AfterUnknown = false
		record, err := own.Encode(o.n.vm.Name)
		if err != nil {
			o.n.log.Error(err, "record of the term not replaced", "cell", o.cell, "fence", o.fence)
			return
		}
		records = append(records, record)
	}
	o.core.ForgetEarlierOwners(records...)
}
