package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// slowReads is an intake whose reads of the submissions take time.
type slowReads struct {
	intake         *Intake
	ended          atomic.Int32 // reads that were not aborted
	inFlight, peak atomic.Int32
	lastReadUnixNs atomic.Int64
}

func newSlowReads(readTime time.Duration) *slowReads {
	s := &slowReads{}
	config := policy.New(1, []policy.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Timeout: 3 * time.Second}}, nil)
	s.intake = New(Options{
		Log: &fakeLog{}, Submissions: cell.NewReplica(), MaxConfigAge: time.Minute, Logger: logr.Discard(), Metrics: metrics.NewSet(),
		Config: func() (*policy.Config, time.Duration) { return config, 0 },
		CatchUp: func(ctx context.Context) error {
			s.peak.Store(max(s.peak.Load(), s.inFlight.Add(1)))
			defer s.inFlight.Add(-1)
			select {
			case <-time.After(readTime):
				s.ended.Add(1)
				s.lastReadUnixNs.Store(time.Now().UnixNano())
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
		SubmissionsAge: func() (time.Duration, bool) { return time.Since(time.Unix(0, s.lastReadUnixNs.Load())), true },
	})
	return s
}

const unknownPath = "/q/00000000000000a1"

// A VM that was cut off has up to 20 s of records to read. Each request for a submission that
// it does not know read all of them, and the reads shared the VM's link.
func TestRequestsForUnknownSubmissionsShareReads(t *testing.T) {
	Convey("Concurrent requests for unknown submissions share reads of the log", t, func() {
		s := newSlowReads(200 * time.Millisecond)
		var requests sync.WaitGroup
		for range 30 {
			requests.Go(func() { s.intake.Query(context.Background(), Request{Host: "h", Path: unknownPath}) })
		}
		requests.Wait()
		So(s.peak.Load(), ShouldBeLessThanOrEqualTo, 2)
	})
}

// Reads of the log end only when they make no progress, so requests need their own limit.
func TestRequestsForUnknownSubmissionsEndInTime(t *testing.T) {
	Convey("A request for an unknown submission is answered before its caller gives up", t, func() {
		s := newSlowReads(3 * time.Second)
		req := Request{Host: "h", Path: unknownPath, Timeout: time.Second}
		Convey("if it cancels", func() {
			start := time.Now()
			So(s.intake.Cancel(context.Background(), req).Status, ShouldEqual, 503)
			So(time.Since(start), ShouldBeLessThan, req.Timeout)
		})
		Convey("if it asks for the state", func() {
			start := time.Now()
			So(s.intake.Query(context.Background(), req).Status, ShouldEqual, 503)
			So(time.Since(start), ShouldBeLessThan, req.Timeout)
		})
	})
}

// A refresh that is aborted discards what it has received; the next query starts it again.
func TestRefreshGoesOnAfterQueryIsAnswered(t *testing.T) {
	Convey("Queries that are answered before a refresh ends leave it running", t, func() {
		s := newSlowReads(refreshTimeout + 100*time.Millisecond)
		req := Request{Host: "h", Path: unknownPath}
		So(s.intake.Submit(context.Background(), req, submission.Submission{Steps: []submission.Step{{Count: 1}}}).Status, ShouldEqual, 200)
		for range 4 {
			s.intake.Query(context.Background(), req)
		}
		So(s.ended.Load(), ShouldBeGreaterThan, 0)
	})
}
