package node

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/config"
	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/platform/standin"
	"github.com/peridotlock/peridotlock/provider"
)

// recordingExecutor answers each heartbeat with an error and sends its name.
type recordingExecutor struct {
	provider.Executor
	name   string
	called chan string
}

func (e recordingExecutor) Heartbeat(context.Context, provider.HeartbeatRequest) (provider.HeartbeatReport, error) {
	e.called <- e.name
	return provider.HeartbeatReport{}, provider.ErrUnavailable
}

// The goroutine of a heartbeat read the client that the owner replaces when the executor's
// address changes.
func TestHeartbeatKeepsItsClient(t *testing.T) {
	Convey("A heartbeat goes to the client that the executor had when it was due", t, func() {
		const heartbeats = 100
		called := make(chan string, heartbeats)
		o := &owner{ctx: context.Background(), inbox: make(chan func(time.Duration), heartbeats), core: dispatch.New(dispatch.Options{})}
		info := provider.ExecutorInfo{ID: "i-0", Address: "127.0.0.1:1"}
		o.core.SetExecutor(info, 0)
		for range heartbeats {
			h := &heartbeat{info: info, client: recordingExecutor{name: "before", called: called}}
			o.startHeartbeat(h, &h.busy, 0)
			h.client = recordingExecutor{name: "after", called: called}
			So(<-called, ShouldEqual, "before")
		}
	})
}

// The owner replaced its context after it had registered for changed entries, while the
// follower of the submissions posted under it. It shows with the race detector.
func TestEntryChangesAsOwnerStarts(t *testing.T) {
	Convey("An entry may change while the owner starts", t, func() {
		store := standin.NewStore(1)
		server := httptest.NewServer(store)
		defer server.Close()
		layout, err := cell.LayoutRecord(cell.Layout{Cells: 1})
		So(err, ShouldBeNil)
		store.Put(cell.SubmissionsTopic, layout.Key, string(layout.Value))
		n := New(config.VM{Name: "vm-1", Log: strings.TrimPrefix(server.URL, "http://")}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		So(n.submissionsFollower.CatchUp(ctx), ShouldBeNil)
		fence, err := n.claim(ctx, progressPartition(0))
		So(err, ShouldBeNil)
		o := n.newOwner(ctx, 0, fence)
		defer o.close()
		So(o.restore(), ShouldBeNil)
		stopped := make(chan string)
		go func() {
			reason, _ := o.run()
			stopped <- reason
		}()
		time.Sleep(4 * stepInterval)
		o.entryChanged(cell.Entry{ID: id1, Cell: 0})
		cancel()
		So(<-stopped, ShouldEqual, "released")
	})
}
