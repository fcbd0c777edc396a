package node

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/boottime"
	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/platform/standin"
	"github.com/peridotlock/peridotlock/provider"
)

const (
	oddEntries     = 1200
	ghosts         = 300 // well-formed entries of executors that do not exist
	oddChanges     = 30  // in each step
	oddEntriesTime = 6 * time.Second
	oddEntriesStep = 250 * time.Millisecond
)

// relist writes the entries of all executors.
func (c *cluster) relist() {
	for i, entry := range c.entries {
		c.store.Put("servers", fmt.Sprintf("i-%d", i), entry)
	}
}

// Entries of other writers in the list of executors must not change the layout, end a process or
// stop its work.
func TestOddEntriesCostOnlyThemselves(t *testing.T) {
	Convey("Given hundreds of odd entries that appear, change and go, also in place of good ones", t, func() {
		c := newStore(t, 8)
		rng := rand.New(rand.NewPCG(1, 1))
		good := standin.NewExecutor("odd", 0).RegistryEntry("s", "127.0.0.1:1", "d")
		c.store.PutOddEntries(rng, oddEntries, oddEntries, good)
		for i := range ghosts {
			other := strings.Replace(good, `"backend":"s"`, `"backend":"another"`, 1)
			c.store.Put("servers", fmt.Sprintf("other-%d", i), strings.Replace(other, `"r1"`, fmt.Sprintf(`"other-%d"`, i), 1))
		}
		for i := range 3 {
			c.addExecutor(fmt.Sprintf("i-%d", i), "r1", 200*time.Millisecond)
		}
		first, second := c.start("vm-0"), c.start("vm-1")
		So(eventually(func() bool { return first.ready() && second.ready() }), ShouldBeTrue)

		Convey("the layout is that of the executors that exist", func() {
			status, _ := second.call("POST", "/q/"+id1, batchSubmission)
			So(status, ShouldEqual, 200)
			So(eventually(second.hasState(id1, "completed")), ShouldBeTrue)
			So(second.node.submissions.Layout().Cells, ShouldEqual, 1)

			Convey("and all work ends while owners change", func() {
				var ids []string
				for start := boottime.Now(); boottime.Now()-start < oddEntriesTime; time.Sleep(oddEntriesStep) {
					c.store.PutOddEntries(rng, oddEntries, oddChanges, good)
					c.relist() // as executors do with each heartbeat
					i := rng.IntN(len(c.executors))
					c.store.Put("servers", fmt.Sprintf("i-%d", i), standin.OddEntry(rng, c.entries[i]))
					id := fmt.Sprintf("%016x", 100+len(ids))
					if status, _ := second.call("POST", "/q/"+id, batchSubmission); status == 200 {
						ids = append(ids, id)
					}
					if len(ids) == 8 {
						first.stop()
						first = c.start("vm-2")
					}
				}
				c.relist()
				So(len(ids), ShouldBeGreaterThan, 12)
				for _, id := range ids {
					So(eventually(second.hasState(id, "completed")), ShouldBeTrue)
				}
				started := 0
				for _, e := range c.executors {
					started += e.StartCount()
				}
				So(started, ShouldEqual, 5*(1+len(ids)))
			})
		})
	})
}

// A VM that started after another writer had replaced the layout had none, or another one than the
// VMs that were running.
func TestReplacedLayoutIsRestored(t *testing.T) {
	Convey("Given a deployment of three cells", t, func() {
		c := newStore(t, 8)
		layout, err := cell.LayoutRecord(cell.Layout{Cells: 3, Racks: map[string]int{"r1": 0, "r2": 1, "r3": 2}})
		So(err, ShouldBeNil)
		c.store.Put(cell.SubmissionsTopic, layout.Key, string(layout.Value))
		for i := range 3 {
			c.addExecutor(fmt.Sprintf("i-%d", i), fmt.Sprintf("r%d", i+1), 100*time.Millisecond)
		}
		first := c.start("vm-0")
		So(eventually(first.ready), ShouldBeTrue)
		status, _ := first.call("POST", "/q/"+id1, batchSubmission)
		So(status, ShouldEqual, 200)
		So(eventually(first.hasState(id1, "completed")), ShouldBeTrue)
		other, err := cell.LayoutRecord(cell.Layout{Cells: 2})
		So(err, ShouldBeNil)
		for _, value := range []string{"\xff", "", string(other.Value)} {
			c.store.Put(cell.SubmissionsTopic, layout.Key, value)
			So(eventually(func() bool {
				newest, err := first.node.store.Newest(context.Background(), submissionsPartition)
				return err == nil && slices.ContainsFunc(newest.Records, func(r provider.KeyedRecord) bool {
					return r.Key == layout.Key && bytes.Equal(r.Value, layout.Value)
				})
			}), ShouldBeTrue)
		}
		Convey("VMs that start later have the same layout, and work goes on", func() {
			second := c.start("vm-1")
			So(eventually(second.ready), ShouldBeTrue)
			So(second.node.submissions.Layout(), ShouldResemble, first.node.submissions.Layout())
			status, _ := second.call("POST", "/q/"+id2, batchSubmission)
			So(status, ShouldEqual, 200)
			So(eventually(second.hasState(id2, "completed")), ShouldBeTrue)
		})
	})
}

// One line for each of them was logged when the first call failed, and state of each was kept.
func TestExecutorsThatNeverAnswerAreCalledRarely(t *testing.T) {
	Convey("Given hundreds of listed executors at which nothing listens", t, func() {
		c := newStore(t, 1)
		c.addExecutor("i-0", "r1", 100*time.Millisecond)
		good := standin.NewExecutor("odd", 0).RegistryEntry("s", "127.0.0.1:1", "d")
		var lines atomic.Int64 // several goroutines log
		n := c.newNode("vm-0", funcr.New(func(_, args string) {
			if strings.Contains(args, "dependency lost") {
				lines.Add(1)
			}
		}, funcr.Options{}))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		v := &vm{node: n, callers: n.vm.Callers, readiness: n.vm.Readiness}
		So(eventually(v.ready), ShouldBeTrue)
		status, _ := v.call("POST", "/q/"+id1, batchSubmission)
		So(status, ShouldEqual, 200)
		So(eventually(v.hasState(id1, "completed")), ShouldBeTrue)
		for i := range ghosts {
			c.store.Put("servers", fmt.Sprintf("odd-%d", i), good)
		}
		const settle, span = 6 * time.Second, 3 * time.Second
		time.Sleep(settle)
		failures := n.set.GetOrCreateCounter(`peridotlock_call_failures_total{peer="executor"}`)
		before := failures.Get()
		time.Sleep(span)
		calls := int(failures.Get() - before)
		for i := range ghosts {
			c.store.Put("servers", fmt.Sprintf("odd-%d", i), "")
		}
		// An owner keeps executors for the longest lease of an earlier owner.
		callsEnd := eventually(func() bool {
			last := failures.Get()
			time.Sleep(2 * unseenRetryDelay)
			return failures.Get() == last
		})
		cancel()
		So(<-done, ShouldBeNil)
		Convey("they are called once in unseenRetryDelay at most, are logged at a bounded rate, and not called once they are gone", func() {
			So(calls, ShouldBeBetween, ghosts, ghosts*int(span/unseenRetryDelay)+ghosts)
			So(lines.Load(), ShouldBeLessThanOrEqualTo, maxLostLines*int(settle/time.Second))
			So(callsEnd, ShouldBeTrue)
		})
	})
}
