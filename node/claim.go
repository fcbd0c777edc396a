package node

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/peridotlock/peridotlock/predecessor"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	claimKey = "owner"
	// beforeClaimKey sorts before claimKey and after the keys of tasks, so that a read of
	// the newest records after it returns the claim in one page.
	beforeClaimKey = "owne"
)

// claim appends the record of a new term and returns the term's fencing token.
// The token derives from the record's offset, so it is unique. The record carries
// no epoch: with one, the log would answer an equal record from another VM as a
// repeat of the same append. It names its claim, which distinguishes one that was stored
// without an answer from those of other VMs and of earlier terms of this VM.
//
// A record of the VM is stored with it; see package predecessor. What it says of the claim before is true: the
// claim is appended at an end that was known before that claim was read.
func (n *Node) claim(ctx context.Context, p provider.Partition) (int64, error) {
	id := n.vm.Name + " " + rand.Text()
	end, own := provider.Offset(0), predecessor.Record{Claim: id, Process: n.leases.process, Address: n.vm.Peers}
	for ctx.Err() == nil {
		_, err := n.claimAt(ctx, p, own, end)
		var mismatch *provider.EndMismatchError
		switch {
		case err == nil:
			return int64(end) + 1, nil
		case !errors.As(err, &mismatch):
			return 0, err
		}
		// An unanswered attempt may have been stored, and another attempt could end the term of a VM that has
		// claimed the cell since.
		newest, err := n.newestClaim(ctx, p)
		if err != nil {
			return 0, err
		}
		if newest.id == id {
			return newest.fence, nil
		}
		own.AfterUnknown = !newest.isKnownTo(n.vm.Name) || newest.terms[n.vm.Name].AfterUnknown
		end = mismatch.End
	}
	return 0, ctx.Err()
}

// claimAt repeats the append of a claim until the log has stored it at end or refuses it
// since the partition does not end there. At most one of the attempts is stored, however
// late they are carried out.
func (n *Node) claimAt(ctx context.Context, p provider.Partition, own predecessor.Record, end provider.Offset) (attempts int, err error) {
	term, err := own.Encode(n.vm.Name)
	if err != nil {
		return 0, err
	}
	records := []provider.KeyedRecord{{Key: claimKey, Value: []byte(own.Claim)}, term}
	return repeated{
		about:  subject{"claim", p.Topic, end},
		delay:  &n.claimDelay,
		urgent: true,
		attempt: func(ctx context.Context) error {
			_, err := n.store.AppendKeyed(ctx, p, records, provider.Condition{End: &end})
			return err
		},
		outcome: func(err error) (bool, error) {
			var mismatch *provider.EndMismatchError
			if err == nil || errors.As(err, &mismatch) {
				return true, err
			}
			return false, nil
		},
		failed: func(err error) {
			n.log.Info("claiming the cell failed, retrying", "cell", p.Index, "end", end, "reason", err.Error())
		},
	}.run(ctx)
}

// storedClaim is the newest claim of a cell.
type storedClaim struct {
	id    string
	fence int64                         // fencing token of its term; 0 without a claim
	terms map[string]predecessor.Record // by VM
}

// isKnownTo reports whether a VM that claims the cell next knows whom to ask for the leases of the newest claim's owner:
// itself, or the VM of a term record. Earlier versions store no such record.
func (c storedClaim) isKnownTo(vm string) bool {
	owner := c.id[:max(0, strings.LastIndexByte(c.id, ' '))]
	return c.id == "" || owner == vm || c.terms[owner].Claim == c.id
}

// newestClaim reads the newest claim of a cell, and repeats the read until it succeeds or
// ctx ends. A claim that was stored before the call is never missed.
func (n *Node) newestClaim(ctx context.Context, p provider.Partition) (storedClaim, error) {
	var newest atomic.Pointer[storedClaim]
	_, err := repeated{
		about:  subjectOf("claim", p.Topic),
		delay:  &n.claimDelay,
		urgent: true,
		attempt: func(ctx context.Context) error {
			claim, err := n.readClaim(ctx, p)
			if err == nil {
				newest.Store(&claim)
			}
			return err
		},
		outcome: func(err error) (bool, error) { return err == nil, nil },
		failed: func(err error) {
			n.log.Info("reading the newest claim failed, retrying", "cell", p.Index, "reason", err.Error())
		},
	}.run(ctx)
	if err != nil {
		return storedClaim{}, fmt.Errorf("read the newest claim of cell %d: %w", p.Index, err)
	}
	return *newest.Load(), nil
}

func (n *Node) readClaim(ctx context.Context, p provider.Partition) (storedClaim, error) {
	batch, err := n.store.NewestAfter(ctx, p, beforeClaimKey)
	if err != nil {
		return storedClaim{}, err
	}
	newest := storedClaim{terms: predecessor.Records(batch.Records)}
	for _, r := range batch.Records {
		if r.Key == claimKey {
			newest.id, newest.fence = string(r.Value), int64(r.Offset)+1
		}
	}
	return newest, nil
}
