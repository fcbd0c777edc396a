package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/quota"
	"github.com/peridotlock/peridotlock/submission"
)

// fuzzOwners are the owners of the cells of a VM, without a store.
type fuzzOwners struct {
	t      *testing.T
	n      *Node
	owners []*owner
	now    time.Duration
}

func newFuzzOwners(t *testing.T, cells int) *fuzzOwners {
	set := metrics.NewSet()
	n := &Node{set: set, submissions: cell.NewReplica(), skipped: newSkippedRecords(logr.Discard(), set)}
	f := &fuzzOwners{t: t, n: n, now: time.Second}
	layout := cell.Layout{Cells: cells, Racks: map[string]int{"r0": 0}}
	record, err := cell.LayoutRecord(layout)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(record)
	for i := range cells {
		core := dispatch.New(dispatch.Options{FencingToken: 1 << 20, Lease: 5 * time.Second, MaxLease: 10 * time.Second, InheritedLease: 6 * time.Second, Started: f.now, Cells: cells})
		o := &owner{n: n, cell: i, layout: layout, core: core}
		o.caps.tenants = []policy.Tenant{{Name: "t", Cap: fleet.Resources{MilliCPU: 4000}}}
		f.owners = append(f.owners, o)
	}
	return f
}

func (f *fuzzOwners) apply(r provider.KeyedRecord) {
	f.n.applySubmissions([]provider.KeyedRecord{r}, false)
}

// advance has all owners take up the submissions, and decide.
func (f *fuzzOwners) advance() {
	for _, o := range f.owners {
		id := provider.ExecutorID(fmt.Sprintf("i-%d", o.cell))
		o.core.SetExecutor(provider.ExecutorInfo{ID: id, Service: "s", Address: "10.0.0.1:80", Labels: []string{"a", "r"}, Size: fleet.Resources{MilliCPU: 8000, MemoryMB: 8000}}, f.now)
		for range 3 {
			f.now += 300 * time.Millisecond
			for _, e := range f.n.submissions.All() {
				o.addEntry(e, f.now)
				if e.Cancelled || e.Cell != o.cell && e.State.IsFinal() {
					o.core.Cancel(e.ID, f.now)
				}
			}
			request := o.core.Heartbeat(id, f.now)
			o.core.HandleHeartbeatReport(id, request, provider.HeartbeatReport{Clock: f.now.Milliseconds(), StartTimeMs: 1}, f.now, f.now)
			o.core.Tick(f.now)
			o.core.Orders(f.now)
			batch, err := o.core.Plan(f.now, f.now.Milliseconds())
			if err != nil {
				f.t.Fatal(err)
			}
			o.core.Commit(batch, f.now)
			o.core.HandoverCandidates(f.now)
			for _, c := range append(o.core.LendCandidates(f.now), o.core.ReturnCandidates(f.now)...) {
				e, _ := f.n.submissions.Lookup(c.ID)
				f.n.submissions.ReserveGap(o.gapRequest(c, e))
			}
		}
	}
	for _, e := range f.n.submissions.All() {
		if !e.Moved && (e.Cell < 0 || e.Cell >= len(f.owners)) {
			f.t.Fatalf("submission %s belongs to cell %d of %d", e.ID, e.Cell, len(f.owners))
		}
		f.n.submissions.ChooseCell(e.Submission, 0)
		f.n.submissions.ChooseOtherCell(e.Submission, 0)
	}
	f.checkShares()
	f.n.submissions.Expired(0, f.now)
	f.n.submissions.Expire(f.now)
}

// checkShares has the owners take over the shares of a tenant's cap as read, and decide on transfers.
func (f *fuzzOwners) checkShares() {
	sum := int64(0)
	uses := f.n.submissions.Uses(f.now)
	for _, o := range f.owners {
		o.caps.unreadable = nil
		o.restoreShares(f.now)
		given := o.given(f.n.submissions.Shares())
		own := max(0, quota.Shares("t", given)[o.cell]-o.lostShare("t"))
		if cells, wanted := o.tenantCells("t", given, uses, quota.Demand{}); wanted {
			for _, parts := range quota.Transfers(o.cell, cells) {
				if parts < 0 {
					f.t.Fatalf("cell %d gives %d parts", o.cell, parts)
				}
			}
		}
		sum += own
	}
	// The owners have no writer: a foreign record may state what no owner would have given.
	if sum > int64(len(f.owners))*quota.Whole {
		f.t.Fatalf("shares add up to %d", sum)
	}
}

// FuzzSubmissionRecords checks that no records of the submissions end a VM, and that a later good
// submission is taken up and placed.
func FuzzSubmissionRecords(f *testing.F) {
	const id, other = "00000000000000aa", "00000000000000bb"
	step := submission.Step{Count: 2, Size: fleet.Resources{MilliCPU: 1000, MemoryMB: 100}, LongRunning: true}
	add := func(r provider.KeyedRecord, err error) provider.KeyedRecord {
		if err != nil {
			f.Fatal(err)
		}
		return r
	}
	accepted := add(cell.SubmissionRecord(id, submission.Submission{Queue: "q", Service: "s", Steps: []submission.Step{step}}))
	odd := add(cell.SubmissionRecord(id, submission.Submission{Service: "s", Occurrences: -1, Steps: []submission.Step{{Count: -1, DependsOn: []int{-1}}}}))
	loan := add(cell.LoanRecord(id, []cell.Loan{{Cell: 1, Index: 1, Run: 1}}))
	oddLoan := add(cell.LoanRecord(id, []cell.Loan{{Cell: -1, Step: -1, Crashes: -1}}))
	returned := add(cell.ReturnRecord(id, 1, []cell.Loan{{Index: 1, Run: 3, Crashes: 3, Suspicion: 0.999}}))
	load := add(cell.LoadRecord(1, cell.Load{Free: fleet.Resources{MilliCPU: 1 << 62}, Gaps: []cell.Gap{{Service: "s", Size: fleet.Resources{MilliCPU: 8000, MemoryMB: 8000}}}}))
	layout := add(cell.LayoutRecord(cell.Layout{Cells: -1}))
	moved := add(cell.ProgressMoveRecord(id, 1, []byte{0x82, 0x01, 0x81, 0x88, 0, 0, 0, 0xf5, 1, 0x60, 0, 0x60}, []int{0}))
	oddMove := add(cell.ProgressMoveRecord(id, 1, []byte{0xff}, []int{-1, 300}))
	shares := add(cell.SharesRecord(0, quota.Given{"t": {1: 1000}}))
	oddShares := add(cell.SharesRecord(1, quota.Given{"t": {1: -1, 300: 1 << 60}}))
	use := add(cell.UseRecord(1, map[string]quota.Demand{"t": {Used: 10, Next: 1 << 19, Need: 1 << 20}}))
	oddUse := add(cell.UseRecord(0, map[string]quota.Demand{"t": {Used: 10, Next: -1, Need: 1 << 62}}))
	for _, r := range []provider.KeyedRecord{shares, oddShares, use, oddUse, odd, loan, oddLoan, returned, load, layout, cell.MoveRecord(id, 1), cell.MoveRecord(id, 9), moved, oddMove, cell.StateRecord(id, 200), cell.CancelRecord(id)} {
		f.Add(accepted.Key, accepted.Value, r.Key, r.Value)
		f.Add(r.Key, r.Value, accepted.Key, accepted.Value)
	}
	good := add(cell.SubmissionRecord(other, submission.Submission{Queue: "q", Service: "s", Steps: []submission.Step{step}}))
	f.Fuzz(func(t *testing.T, key1 string, value1 []byte, key2 string, value2 []byte) {
		vms := newFuzzOwners(t, 2)
		for _, r := range []provider.KeyedRecord{{Key: key1, Value: value1}, {Key: key2, Value: value2}, {Key: key1, Value: value1}} {
			if len(r.Key) >= len(other) && r.Key[:len(other)] == other {
				return
			}
			vms.apply(r)
			vms.advance()
		}
		vms.apply(good)
		vms.advance()
		e, known := vms.n.submissions.Lookup(other)
		if !known || e.Unreadable {
			t.Fatalf("good submission is known: %v, unreadable: %v", known, e.Unreadable)
		}
	})
}

// FuzzOperatorRecords checks that odd records leave the last good configuration in force, and that
// a later one is taken up.
func FuzzOperatorRecords(f *testing.F) {
	f.Add("config", configV1, "evacuate/d", "1")
	f.Add("config", `{"version":-1}`, "config", `[`)
	f.Add("evacuate/", "", "evacuate/\xff", "\x00")
	f.Fuzz(func(t *testing.T, key1, value1, key2, value2 string) {
		v := &operatorView{log: logr.Discard(), skipped: newSkippedRecords(logr.Discard(), metrics.NewSet())}
		v.apply([]provider.KeyedRecord{{Key: "config", Value: []byte(configV1)}}, true)
		v.apply([]provider.KeyedRecord{{Key: key1, Value: []byte(value1)}, {Key: key2, Value: []byte(value2)}}, false)
		if c := v.config.Load(); c == nil || c.Version < 1 {
			t.Fatalf("configuration %+v is in force", c)
		}
		v.apply([]provider.KeyedRecord{{Key: "evacuate/z", Value: []byte("1")}, {Key: "config", Value: []byte(configV2)}}, false)
		if !v.domains()["z"] || v.config.Load().Version < 2 {
			t.Fatalf("version %d, evacuated %v", v.config.Load().Version, v.domains())
		}
	})
}
