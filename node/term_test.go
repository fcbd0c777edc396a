package node

import (
	"io"
	"net/http"
	"regexp"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/platform/standin"
)

const (
	homeSubmission   = `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":50,"affinity":"r1"}]}`
	besideCell1      = `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":50,"affinity":"r2"}]}`
	ownerPanicked    = `"msg"="owner ended by a panic"`
	ownerStarted     = `"msg"="owner"`
	cellHeldBack     = `"msg"="cell held back"`
	injected         = "injected fault"
	ownerPanicsCell0 = `peridotlock_owner_panics_total{cell="0"}`
)

// faultyLog collects log lines. It panics in the goroutine that logs a line with fault,
// unless that is empty, if within is empty or a function on its stack.
type faultyLog struct {
	mu     sync.Mutex
	lines  []string
	fault  atomic.Value // string
	within string
}

// newFaultyLog returns a log that the VMs that c starts from now on write to.
func newFaultyLog(c *cluster, fault string) *faultyLog {
	l := &faultyLog{}
	l.fault.Store(fault)
	c.log = funcr.New(func(_, line string) { l.write(line) }, funcr.Options{})
	return l
}

func (l *faultyLog) write(line string) {
	l.mu.Lock()
	l.lines = append(l.lines, line)
	l.mu.Unlock()
	if fault := l.fault.Load().(string); fault != "" && strings.Contains(line, fault) && strings.Contains(string(debug.Stack()), l.within) {
		panic(injected)
	}
}

// with returns the lines that contain all texts.
func (l *faultyLog) with(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range l.lines {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			out = append(out, line)
		}
	}
	return out
}

// number returns the value of a key in a line, or -1.
func number(line, key string) int {
	m := regexp.MustCompile(strconv.Quote(key) + `=(\d+)`).FindStringSubmatch(line)
	if m == nil {
		return -1
	}
	n, err := strconv.Atoi(m[1])
	if err != nil {
		return -1
	}
	return n
}

// metric returns the value of a metric of a VM, or "".
func (v *vm) metric(name string) string {
	reply, err := http.Get("http://" + v.operators + "/metrics")
	if err != nil {
		return ""
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// goroutinesIn returns the number of goroutines whose stack contains a function.
func goroutinesIn(function string) int {
	buffer := make([]byte, 8<<20)
	stacks := string(buffer[:runtime.Stack(buffer, true)])
	n := 0
	for g := range strings.SplitSeq(stacks, "\n\n") {
		if strings.Contains(g, function+"(") {
			n++
		}
	}
	return n
}

// newTwoCells returns a cluster of two cells with one executor each, and the executors'
// ledger.
func newTwoCells(t *testing.T) (*cluster, *standin.Ledger) {
	c := newStore(t, 2)
	layout, err := cell.LayoutRecord(cell.Layout{Cells: 2, Racks: map[string]int{"r1": 0, "r2": 1}})
	So(err, ShouldBeNil)
	c.store.Put(cell.SubmissionsTopic, layout.Key, string(layout.Value))
	l := standin.NewLedger()
	c.addLedgerExecutor(l, "i-0", "r1", 50*time.Millisecond)
	c.addLedgerExecutor(l, "i-1", "r2", 50*time.Millisecond)
	return c, l
}

// A panic in an owner ended the process: its callers, its other cells, and again after each
// restart while the record was there.
func TestOwnerPanicEndsItsTermAlone(t *testing.T) {
	Convey("Given a VM that owns two cells, and a submission whose state makes each owner of the first panic", t, func() {
		c, ledger := newTwoCells(t)
		log := newFaultyLog(c, `"msg"="state" "id"="`+id1+`"`)
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		So(eventually(func() bool { return len(log.with(ownerStarted)) == 2 }), ShouldBeTrue)
		status, _ := vm.call("POST", "/q/"+id1, homeSubmission)
		So(status, ShouldEqual, 200)
		So(eventually(func() bool { return len(log.with(ownerPanicked)) > 0 }), ShouldBeTrue)

		Convey("callers are served and the other cell's owner goes on", func() {
			status, _ := vm.call("GET", "/q/"+id1, "")
			So(status, ShouldEqual, 200)
			status, _ = vm.call("POST", "/q/"+id2, besideCell1)
			So(status, ShouldEqual, 200)
			So(eventually(vm.hasState(id2, "completed")), ShouldBeTrue)
			So(len(log.with(ownerStarted, `"cell"=1`)), ShouldEqual, 1)
			So(len(log.with(ownerPanicked, `"cell"=1`)), ShouldEqual, 0)
			So(vm.ready(), ShouldBeTrue)
		})
		Convey("the line tells the panic, the cell and the first frames", func() {
			line := log.with(ownerPanicked)[0]
			So(line, ShouldContainSubstring, `"cell"=0`)
			So(line, ShouldContainSubstring, `"error"="`+injected+`"`)
			So(line, ShouldContainSubstring, "node.(*owner).publish owner.go:")
			So(number(line, "fence"), ShouldBeGreaterThan, 0)
			So(number(line, "term_ms"), ShouldBeGreaterThanOrEqualTo, 0)
		})
		Convey("the cell is claimed again later each time, up to a bound", func() {
			So(eventually(func() bool { return len(log.with(cellHeldBack)) >= 5 }), ShouldBeTrue)
			for i, want := range []int{500, 1000, 2000, 4000, 4000} {
				So(number(log.with(cellHeldBack)[i], "backoff_ms"), ShouldEqual, want)
			}

			Convey("and once the record does no harm any more, a new owner completes the submission", func() {
				log.fault.Store("")
				So(eventually(vm.hasState(id1, "completed")), ShouldBeTrue)
				panicked, owners := log.with(ownerPanicked), log.with(ownerStarted, `"cell"=0`)
				So(number(owners[len(owners)-1], "fence"), ShouldBeGreaterThan, number(panicked[len(panicked)-1], "fence"))
				So(vm.metric(ownerPanicsCell0), ShouldEqual, strconv.Itoa(len(panicked)))
				So(vm.metric("peridotlock_cells_owned"), ShouldEqual, "2")
				So(vm.metric("peridotlock_executors"), ShouldEqual, "2")
				So(ledger.Violations(), ShouldBeEmpty)
			})
		})
	})
}

func TestNothingOfEndedTermRunsOn(t *testing.T) {
	Convey("After panics of an owner, the VM runs the goroutines of one owner a cell", t, func() {
		c, _ := newTwoCells(t)
		log := newFaultyLog(c, `"msg"="state" "id"="`+id1+`"`)
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		status, _ := vm.call("POST", "/q/"+id1, homeSubmission)
		So(status, ShouldEqual, 200)
		So(eventually(func() bool { return len(log.with(ownerPanicked)) >= 3 }), ShouldBeTrue)
		log.fault.Store("")
		So(eventually(vm.hasState(id1, "completed")), ShouldBeTrue)
		for _, function := range []string{"(*owner).run", "(*owner).followExecutors", "(*owner).followModels"} {
			So(eventually(func() bool { return goroutinesIn(function) == 2 }), ShouldBeTrue)
		}
	})
}

func TestPanicOnOneVM(t *testing.T) {
	Convey("When a VM on which the owner of a cell panics stops, the cell's owner on another VM completes the submission", t, func() {
		c := newCluster(t, 0, 50*time.Millisecond)
		log := newFaultyLog(c, `"msg"="state" "id"="`+id1+`"`)
		first := c.start("vm-0")
		So(eventually(first.ready), ShouldBeTrue)
		status, _ := first.call("POST", "/q/"+id1, batchSubmission)
		So(status, ShouldEqual, 200)
		So(eventually(func() bool { return len(log.with(ownerPanicked)) > 0 }), ShouldBeTrue)
		newFaultyLog(c, "")
		second := c.start("vm-1")
		So(eventually(second.ready), ShouldBeTrue)
		first.stop()
		So(eventually(second.hasState(id1, "completed")), ShouldBeTrue)
	})
}

func TestPanicOfExecutorFollower(t *testing.T) {
	Convey("An entry of the executor list that makes its follower panic ends the owner's term, and the line names the entry", t, func() {
		c := newCluster(t, 0, 50*time.Millisecond)
		log := newFaultyLog(c, `"msg"="record skipped" "topic"="servers" "key"="i-bad"`)
		log.within = "(*owner).followExecutors"
		vm := c.start("vm-0")
		So(eventually(vm.ready), ShouldBeTrue)
		c.store.Put("servers", "i-bad", "{")
		So(eventually(func() bool { return len(log.with(ownerPanicked)) > 0 }), ShouldBeTrue)
		line := log.with(ownerPanicked)[0]
		So(line, ShouldContainSubstring, `"subject"="executor" "key"="i-bad"`)
		So(number(line, "offset"), ShouldEqual, 3)

		Convey("and a mended entry is taken up", func() {
			c.store.Put("servers", "i-bad", "")
			status, _ := vm.call("POST", "/q/"+id1, batchSubmission)
			So(status, ShouldEqual, 200)
			So(eventually(vm.hasState(id1, "completed")), ShouldBeTrue)
		})
	})
}

func TestActivity(t *testing.T) {
	Convey("Given a goroutine of a term that works on a record", t, func() {
		a := &activity{subject: subject{submissionSubject, id1, 7}}
		Convey("a panic is returned with the record and its first frames", func() {
			var m map[string]int
			p := a.protect(func() { m["x"] = 1 })
			So(p, ShouldNotBeNil)
			So(p.Value, ShouldEqual, "assignment to entry in nil map")
			So(p.Stack, ShouldStartWith, "node.TestActivity")
			So(p.keysAndValues(), ShouldResemble, []any{"subject", submissionSubject, "key", id1, "offset", p.offset})
			So(p.offset, ShouldEqual, 7)
		})
		Convey("no panic returns nil", func() {
			So(a.protect(func() { a.share(func() {}) }), ShouldBeNil)
		})
		Convey("a panic while it changes state of others goes on, so that it ends the process", func() {
			So(func() { a.protect(func() { a.share(func() { panic(injected) }) }) }, ShouldPanicWith, injected)
		})
	})
}

func TestPanicBackoff(t *testing.T) {
	Convey("Given panics in a row", t, func() {
		b := &panicBackoff{}
		now := time.Hour
		So(b.mayClaim(now), ShouldBeTrue)
		for _, want := range []time.Duration{minPanicBackoff, 2 * minPanicBackoff, 4 * minPanicBackoff, maxPanicBackoff} {
			So(b.record(now), ShouldEqual, want)
			So(b.mayClaim(now+want-time.Millisecond), ShouldBeFalse)
			now += want
			So(b.mayClaim(now), ShouldBeTrue)
		}
		Convey("the delay stays bounded", func() {
			for range 100 {
				So(b.record(now), ShouldEqual, maxPanicBackoff)
			}
		})
		Convey("after a time without one the next is the first", func() {
			So(b.record(now+panicBackoffReset+time.Second), ShouldEqual, minPanicBackoff)
		})
	})
}
